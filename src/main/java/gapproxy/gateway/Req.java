package gapproxy.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import gapproxy.api.Action.Path;
import gapproxy.api.Event.Outcome;
import gapproxy.config.Config;
import gapproxy.http.Exchange;
import gapproxy.http.HttpClient;
import gapproxy.openai.ChatRequest;
import gapproxy.runtime.Loop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One req in hand: what came, what is out for it, what is held for it. */
final class Req {
  /** One forward. */
  static final class Forward {
    final Req req;
    final int number;
    final Fleet.Server at;
    final Path path;
    final String id;                                          // what the engine knows it by
    final Duration sent;
    HttpClient.Call call;
    Loop.Timer limit;
    Outcome how;
    final StringBuilder relay = new StringBuilder();          // events that wait to be given to the client
    boolean begun;
    boolean waits;                                            // for the end of the turn, to be written
    long kept = -1;                                           // not told
    String why = "";

    Forward(Req req, Fleet.Server at, Path path, Duration sent) {
      this.req = req;
      this.number = req.forwards.size();
      this.at = at;
      this.path = path;
      this.id = req.name + "-" + number;
      this.sent = sent;
    }

    boolean out() {
      return how == null;
    }
  }

  /** A state that waits at a reader, or may: its read's id frees it. */
  record State(Fleet.Server at, String id, JsonNode transfer) {}

  record Place(Fleet.Server at, String id) {}

  final long number;
  final String name;
  final Exchange exchange;
  final ChatRequest chat;
  final Config.Group group;
  final String key;
  final Duration taken;
  final Duration budget;
  final int prompt;
  final List<Forward> forwards = new ArrayList<>();
  State state;
  Place place;
  Forward begun;                                              // whose tokens go to the client
  Loop.Timer limit;
  boolean answered;
  boolean paused;
  Duration firstToken, readEnd, lastChunk;
  long tokens;

  Req(long number, String name, Exchange exchange, ChatRequest chat, Config.Group group, String key, Duration taken,
      Duration budget, int prompt) {
    this.number = number;
    this.name = name;
    this.exchange = exchange;
    this.chat = chat;
    this.group = group;
    this.key = key;
    this.taken = taken;
    this.budget = budget;
    this.prompt = prompt;
  }

  boolean anyOut() {
    return forwards.stream().anyMatch(Forward::out);
  }

  /** The table of states: where it stands follows from what is out and what is held. */
  Stage stage() {
    if (answered) {
      return Stage.ANSWERED;
    } else if (begun != null) {
      return Stage.STREAMING;
    } else if (forwards.stream().anyMatch(f -> f.out() && f.path != Path.READ)) {
      return Stage.WRITING;
    } else if (anyOut()) {
      return Stage.READING;
    }
    return state != null ? Stage.HELD : Stage.WAITING;
  }

  /** How its prompt was read, as clients and logs see it. */
  String path() {
    for (int i = forwards.size() - 1; i >= 0; i--) {
      if (forwards.get(i).path != Path.READ) {
        return forwards.get(i).path == Path.LOCAL ? "local" : "remote";
      }
    }
    return forwards.isEmpty() ? "none" : "remote";
  }
}
