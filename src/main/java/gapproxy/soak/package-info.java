/**
 * Soak test: gateways run as real processes on loopback between simulated clients, model servers and discovery, with a proxy on
 * each hop that injects several overlapping faults drawn from one seed. A run is judged by the traffic, by exits and resource use of
 * the processes, and by the rule violations and errors that gateways log. {@link gapproxy.soak.MemoryPressure} tests a single gateway
 * under memory pressure.
 */
package gapproxy.soak;
