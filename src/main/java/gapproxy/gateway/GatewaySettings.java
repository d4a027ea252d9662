package gapproxy.gateway;

import gapproxy.api.Settings;
import gapproxy.config.Config;
import java.time.Duration;
import java.util.List;

/**
 * The settings of a gateway that don't depend on the protocol it speaks.
 *
 * @param name the name of the gateway
 * @param settings the settings of the decisions
 * @param groups names of the endpoint groups, in the order of {@code settings}; likewise {@code zones} and {@code kinds}
 * @param kinds names of the kinds of servers
 * @param releaseWithin how soon a held resource must be released once nothing uses it
 * @param maxAnswerTime how long a streamed answer may take after its first token
 * @param silenceLimit how long an engine may complete no event during an answer
 * @param stopTimeout how long open reqs may take to end when the gateway stops
 * @param maxOpenReqs how many reqs may be open at once
 * @param sharedClock whether start times in the server list are read from this machine's clock
 */
public record GatewaySettings(String name, Settings settings, List<String> groups, List<String> zones, List<String> kinds,
    Duration releaseWithin, Duration maxAnswerTime, SilenceLimit silenceLimit, Duration stopTimeout, int maxOpenReqs, boolean sharedClock) {

  /** The settings of a gateway that serves the chat API, from its settings file. */
  static GatewaySettings of(Config c) {
    return new GatewaySettings(c.name(), c.settings(), c.groups().stream().map(Config.Group::name).toList(), c.zones(),
        c.kinds().stream().map(Config.Kind::name).toList(), Config.ofMillis(c.rules().releaseWithinMs()),
        Config.ofMillis(c.limits().longestAnswerMs()), new SilenceLimit(Config.ofMillis(c.limits().tokenGapMs()), SilenceLimit.Side.END_AFTER, Long.MAX_VALUE),
        Config.ofMillis(c.limits().stopMs()),
        c.limits().openReqs(), false);
  }
}
