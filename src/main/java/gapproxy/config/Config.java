package gapproxy.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import gapproxy.api.Settings;
import gapproxy.api.Settings.SlowStartLimit;
import gapproxy.api.Settings.Customer;
import gapproxy.api.Settings.EndpointGroup;
import gapproxy.api.Settings.Limits;
import gapproxy.api.Settings.Repeat;
import gapproxy.api.Settings.Reports;
import gapproxy.api.Settings.Role;
import gapproxy.api.Settings.Scope;
import gapproxy.api.Settings.ServerKind;
import gapproxy.api.Settings.Source;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * One gateway's settings as the schema describes them. Record components have the names of the file's keys, in camel case. A value that the
 * file doesn't set has the schema's default; one without a default is null.
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record Config(String name, Listen listen, List<String> zones, String zone, int gateways, String stateDir,
    List<Group> groups, List<CustomerConfig> customers, double overShareWorth, List<Kind> kinds, boolean writersRead,
    boolean holdAhead, boolean resume, RuleConfig rules, ListConfig list, LimitConfig limits, Http http, Log log) {

  /** The address at which the gateway listens for clients. */
  public record Listen(String host, int port) {}

  /** An endpoint group: the models that it serves, how its reqs may be repeated, and their time limits. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record Group(String name, List<String> models, String repeat, String scope, double windowMs, double importance,
      double responseTargetMs, @JsonProperty("target_per_1000_tokens_ms") double targetPer1000Ms, double deadlineMs,
      @JsonProperty("deadline_per_1000_tokens_ms") double deadlinePer1000Ms) {

    /** How long a client waits by default for the first token before it gives up. */
    public Duration deadline(int promptTokens) {
      return ofMillis(deadlineMs + deadlinePer1000Ms * promptTokens / 1000);
    }
  }

  /** A customer: how its clients are recognized, and its share of the capacity over all gateways. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record CustomerConfig(String name, List<String> keys, boolean anonymous, double reqsPerSecond) {}

  /** A kind of model server. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record Kind(String name, String role, double memoryTokens) {}

  /** The grace period of draining servers, the time limit for releases, and the limits for servers that have just started. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record RuleConfig(double drainGraceMs, double releaseWithinMs, SlowStart cold) {}

  /** Limits for servers that have just started, see {@link SlowStartLimit}. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record SlowStart(double leastCapacity, double warmWithinMs, double tipMultiple, double tipSpanMs) {}

  /** Where the server list comes from: a file or a URL; the other one is null. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record ListConfig(String file, String url, int lookEveryMs, int waitMs, int askWithinMs) {}

  /** Limits on forwards, retry advice, probes, answers and open reqs. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record LimitConfig(int forwards, boolean cancel, boolean copies, boolean probes, boolean retryAdvice,
      double longestRetryAdviceMs, int connectMs, int probeMs, double tickMs, int longestAnswerMs, int tokenGapMs,
      int stopMs, int openReqs) {}

  /** Size and time limits of HTTP messages and connections. */
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record Http(int headBytes, int headers, int bodyBytes, int outBytes, int idleMs, int arriveMs,
      int poolIdleMs) {}

  /** Format and level of the log. */
  public record Log(String form, String level) {}

  /** Converts milliseconds to a duration. */
  public static Duration ofMillis(double ms) {
    return Duration.ofNanos(Math.round(ms * 1e6));
  }

  /** Index of this gateway's zone in the list of zones; the first zone if none is set. */
  public int zoneIndex() {
    return zone == null ? 0 : zones.indexOf(zone);
  }

  /** Returns the settings that the routing decisions read. */
  public Settings settings() {
    return new Settings(gateways, zoneIndex(), ofMillis(limits.tickMs),
        groups.stream().map(g -> new EndpointGroup(Repeat.valueOf(g.repeat.toUpperCase(Locale.ROOT)),
            Scope.valueOf(g.scope.toUpperCase(Locale.ROOT)), ofMillis(g.windowMs), g.importance,
            ofMillis(g.responseTargetMs), ofMillis(g.targetPer1000Ms))).toList(),
        customers.stream().map(c -> new Customer(c.reqsPerSecond)).toList(), overShareWorth,
        kinds.stream().map(k -> new ServerKind(Role.valueOf(k.role.toUpperCase(Locale.ROOT)), k.memoryTokens)).toList(),
        writersRead, holdAhead,
        new SlowStartLimit(rules.cold.leastCapacity, ofMillis(rules.cold.warmWithinMs), rules.cold.tipMultiple,
            ofMillis(rules.cold.tipSpanMs)),
        list.url != null, ofMillis(list.askWithinMs),
        new Reports(limits.probes ? Source.BY_PROBE : Source.NONE, 0, 1, -1, 2, -1),
        new Limits(limits.forwards, limits.cancel, limits.copies, limits.probes, limits.retryAdvice,
            ofMillis(limits.longestRetryAdviceMs)));
  }
}
