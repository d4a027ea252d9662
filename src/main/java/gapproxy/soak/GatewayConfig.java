package gapproxy.soak;

import java.time.Duration;

/**
 * The configuration file of one gateway process.
 *
 * @param port loopback port on which the gateway listens
 * @param discoveryPort loopback port of discovery
 * @param memoryMb resident memory above which the process counts as failed
 * @param sockets limit of open sockets
 * @param hosts the last known list of model servers, in the format of discovery
 * @param nonReplayable the value of "repeat" for the class whose reqs must not be repeated
 */
record GatewayConfig(String name, int port, int discoveryPort, long seed, int memoryMb, int sockets, String hosts, int gateways, int zone,
    SoakPlan.Settings settings, Duration drainGrace, String nonReplayable) {
  private static long micros(Duration d) {
    return d.toNanos() / 1000;
  }

  /** The content of the file. */
  String json() {
    long longest = micros(settings.longestBudget());
    return """
        {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
         "known":%s,
         "settings":{"balancers":%d,"tickUs":4000,"locality":%d,"localities":["a","b"],"kinds":["reading","writing"],
          "classes":[{"name":"talk","repeat":"read_like","sloUs":%d,"giveUpUs":%d,"worth":1.0,"stream":true},
           {"name":"note","repeat":"idempotency_key","group":"all","windowUs":%d,"sloUs":%d,"giveUpUs":%d,"worth":1.0,"stream":true},
           {"name":"pay","repeat":"%s","sloUs":%d,"giveUpUs":%d,"worth":2.0,"stream":true}],
          "projects":[{"name":"town","quotaRps":1000.0}],"overShareWorth":0.2,"registryMode":"pushed",
          "familyInfo":{"ahead":true,"localRead":true,"releaseWithinUs":%d,"roleByKind":["read","write"],"memoryTokens":[200000,200000],
           "reportX0":"share of memory that is held","reportX1":"thousands of prompt tokens waiting to be read or fetched"},
          "guarantees":{"drainGraceUs":%d,"startCapacity":%s,"warmUpUs":%d,"tipMultiple":%s,"fallUs":%d},
          "policyLimits":{"connIdleUs":%d,"connectTimeoutUs":250000,"maxAttempts":4,"mayCancel":true,"mayDuplicate":%b,"mayProbe":%b,
           "retryAfter":false},
          "stats":{"source":"%s","columns":["outstanding","backlog","x0","x1"]}}}
        """.formatted(name, port, discoveryPort, seed, memoryMb, sockets, hosts, gateways, zone, longest / 2, longest,
        micros(settings.window()), longest / 2, longest, nonReplayable, longest / 2, longest, micros(settings.release()),
        micros(drainGrace), SoakBackends.START_CAPACITY, micros(SoakBackends.WARM_UP), SoakBackends.OVERLOAD_MULTIPLE,
        micros(SoakBackends.OVERLOAD_WINDOW), micros(settings.idle()),
        settings.copies(), settings.probes(), settings.probes() ? "pull" : "silent");
  }
}
