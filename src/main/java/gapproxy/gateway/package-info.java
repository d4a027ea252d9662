/**
 * The gateway: accepts reqs from clients, has {@link gapproxy.Rules} decide, sends attempts to model servers, gives each req exactly one
 * final answer, and releases what servers hold for it. All of it but the decoding of requests runs on one loop. The parts are:
 *
 * <ul>
 * <li>{@link gapproxy.gateway.Gateway} turns what happens into events for the decision logic and executes the actions that it returns. A
 * {@code Req} is the state of one open req with its attempts, and its {@code Stage} says how far it has come.
 * <li>{@link gapproxy.gateway.ClientFrontend} and {@link gapproxy.gateway.ClientReq} are the client side, and {@link
 * gapproxy.gateway.Servers} is the side of the model servers. Each protocol implements them as a pair: {@code ChatFrontend} and {@code
 * EngineServers} are the pair for the chat API and vLLM's protocol, and {@link gapproxy.platform} has another. {@link
 * gapproxy.gateway.HttpFrontend} is the base of the frontends that serve HTTP.
 * <li>{@code Fleet} applies server lists and knows the listed servers. {@code StartTimeConverter} converts their start times to the loop's
 * clock.
 * <li>{@code SendGuard} checks each attempt, reservation and final answer again right before it leaves, and counts violated rules.
 * <li>{@code HeldResources} manages held states and reservations. A {@code HeldResourceLedger} records what may be held under one id,
 * {@code ReleaseWatch} decides when it is released, and {@code Releases} makes the calls, repeating them until one is acknowledged or
 * the release is given up. {@code HeldClock} checks independently of them that nothing stays held longer than the release time.
 * <li>{@code AttemptLog} records what happens to attempts, and {@code MemoryReport} the memory in use, for logs and metrics.
 * </ul>
 */
package gapproxy.gateway;
