package gapproxy.sim;

import gapproxy.audit.Traffic;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Records what each participant of a run observed, in order, for people to read. */
public final class Timeline {
  /** One message between two participants, or a note on one of them if both are the same. */
  public record Step(Duration at, String from, String to, String what) {
    @Override
    public String toString() {
      return "%10.3f ms  %-20s  %s".formatted(at.toNanos() / 1e6, from.equals(to) ? from : from + " -> " + to, what);
    }
  }

  static final String CLIENTS = "clients", LIST = "list", FAULTS = "faults";
  private final Supplier<Duration> now;
  private final List<Step> steps = new ArrayList<>();
  // The gateway of each client's try and of each forward, keyed by the try's name or the forward's id.
  private final Map<String, String> gateways = new HashMap<>();

  Timeline(Supplier<Duration> now) {
    this.now = now;
  }

  List<Step> steps() {
    return List.copyOf(steps);
  }

  void note(String at, String what) {
    steps.add(new Step(now.get(), at, at, what));
  }

  private void message(String from, String to, String what) {
    steps.add(new Step(now.get(), from, to, what));
  }

  private static String engine(Object id) {
    return "engine " + id;
  }

  /** Returns a listener that records each observation and passes it on. */
  Traffic wrap(Traffic inner) {
    return (Traffic) Proxy.newProxyInstance(Traffic.class.getClassLoader(), new Class<?>[] {Traffic.class}, (proxy, method, args) -> {
      if (method.getDeclaringClass() == Traffic.class) {
        record(method.getName(), args);
      }
      try {
        return method.invoke(inner, args);
      } catch (InvocationTargetException e) {
        throw e.getCause();
      }
    });
  }

  private void record(String call, Object[] args) {
    String tryName = args.length > 2 ? args[1] + "#" + args[2] : "";
    String gateway = gateways.getOrDefault(tryName, "?");
    switch (call) {
      case "asked" -> {
        gateways.put(tryName, (String) args[3]);
        message(CLIENTS, (String) args[3], tryName + " asked, " + args[4] + ", budget " + ((Duration) args[5]).toMillis() + " ms");
      }
      case "firstToken" -> message(gateway, CLIENTS, tryName + " first token");
      case "answered" -> message(gateway, CLIENTS, tryName + " " + args[3]);
      case "after" -> message(gateway, CLIENTS, tryName + " AFTER ITS FINAL ANSWER: " + args[3]);
      case "left" -> message(CLIENTS, gateway, tryName + " " + args[3]);
      case "forward" -> {
        gateways.put((String) args[4], (String) args[2]);
        message((String) args[2], engine(args[1]), ((Boolean) args[5] ? "read " : "write ") + args[4] + " for " + args[3]);
      }
      case "ran" -> note(engine(args[1]), "runs " + args[3]);
      case "ended" -> message(engine(args[1]), gateways.getOrDefault((String) args[2], "?"), "ended " + args[2]);
      case "holds" -> note(engine(args[1]), "holds " + args[3]);
      case "freed" -> note(engine(args[1]), ((Boolean) args[3] ? "state taken: " : "freed ") + args[2]);
      case "told" -> message(LIST, (String) args[1], engine(args[2]) + ((Boolean) args[3] ? " ready" : " not to be used"));
      case "gateway" -> note((String) args[1], (Boolean) args[2] ? "is up" : "is gone");
      default -> note(engine(args[1]), call + " " + args[2]);
    }
  }
}
