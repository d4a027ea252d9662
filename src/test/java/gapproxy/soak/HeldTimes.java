package gapproxy.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Measures at model servers how long states and places stay held for a request while none of its attempts is out at a running server. An
 * attempt is out from its arrival to its end at the server, whether or not the gateway learns of that end. Belongs to one loop.
 */
final class HeldTimes {
  /** An attempt at a server. */
  record Attempt(String id, int server, long number) {}

  /** What is held for one request, and its attempts. */
  private static final class RequestRecord {
    /** By server: since when something is held there. */
    final Map<Integer, Duration> heldSince = new LinkedHashMap<>();
    final Set<Attempt> attemptsOut = new HashSet<>();
    Duration lastAttemptEnded = Duration.ZERO;
    String history = "";
  }

  private final Supplier<Duration> clock;
  private final Duration limit;
  private final Map<String, RequestRecord> records = new HashMap<>();
  private final List<String> heldTooLong = new ArrayList<>();
  private Duration longest = Duration.ZERO;
  private long attempts;

  /** @param limit the longest time that something may be held with no attempt out */
  HeldTimes(Supplier<Duration> clock, Duration limit) {
    this.clock = clock;
    this.limit = limit;
  }

  private RequestRecord recordOf(String id) {
    return records.computeIfAbsent(id, i -> new RequestRecord());
  }

  /** Adds an event to what is told of a request that was held too long. */
  void note(String id, String event) {
    recordOf(id).history += " | " + clock.get().toMillis() + " " + event;
  }

  Attempt attemptArrived(String id, int server, String what) {
    RequestRecord request = recordOf(id);
    request.heldSince.keySet().forEach(at -> check(id, request, at));
    Attempt attempt = new Attempt(id, server, attempts++);
    request.attemptsOut.add(attempt);
    note(id, what + " arrives at " + server);
    return attempt;
  }

  void attemptEnded(Attempt attempt, String how) {
    RequestRecord request = recordOf(attempt.id);
    if (request.attemptsOut.remove(attempt)) {
      request.lastAttemptEnded = clock.get();
      note(attempt.id, "attempt at " + attempt.server + " " + how);
    }
  }

  void held(String id, int server) {
    if (recordOf(id).heldSince.putIfAbsent(server, clock.get()) == null) {
      note(id, "held at " + server);
    }
  }

  boolean isHeldAt(String id, int server) {
    return recordOf(id).heldSince.containsKey(server);
  }

  void freed(String id, int server) {
    RequestRecord request = recordOf(id);
    if (request.heldSince.containsKey(server)) {
      check(id, request, server);
      request.heldSince.remove(server);
      note(id, "freed at " + server);
    }
  }

  /** Frees what is held for a request at all servers. */
  void freed(String id) {
    List.copyOf(recordOf(id).heldSince.keySet()).forEach(server -> freed(id, server));
  }

  /** A server has gone: what it held is gone with it, and its attempts are no longer out. */
  void serverGone(int server) {
    records.forEach((id, request) -> {
      request.heldSince.remove(server);
      List.copyOf(request.attemptsOut).stream().filter(attempt -> attempt.server == server)
          .forEach(attempt -> attemptEnded(attempt, "is gone with its server"));
    });
  }

  private void check(String id, RequestRecord request, int server) {
    Duration since = request.heldSince.get(server);
    Duration from = since.compareTo(request.lastAttemptEnded) > 0 ? since : request.lastAttemptEnded;
    Duration held = clock.get().minus(from);
    if (request.attemptsOut.isEmpty()) {
      longest = longest.compareTo(held) > 0 ? longest : held;
      if (held.compareTo(limit) > 0) {
        heldTooLong.add(id + " at " + server + " was held for " + held.toMillis() + " ms until " + clock.get().toMillis() + request.history);
      }
    }
  }

  /** What was held too long, also what is held still. */
  List<String> finish() {
    records.forEach((id, request) -> request.heldSince.keySet().forEach(server -> check(id, request, server)));
    return List.copyOf(heldTooLong);
  }

  Duration longest() {
    return longest;
  }
}
