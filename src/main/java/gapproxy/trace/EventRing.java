package gapproxy.trace;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A ring buffer of a gateway's most recent events, so that the cause of a fault can be found without debug logging. Each new entry
 * overwrites the oldest one. Used on one loop only.
 */
public final class EventRing {
  /**
   * One event.
   *
   * @param at time on the loop's clock
   * @param requestId id of the req that it concerns, or "" for none
   * @param event what happened, as a fixed text
   * @param server the address of the model server, or null
   * @param cause why it happened, as a fixed text, or null
   */
  public record Entry(Duration at, String requestId, String event, Object server, Object cause) {
    @Override
    public String toString() {
      return at.toMillis() + " ms " + requestId + " " + event + (server == null ? "" : " at " + server)
          + (cause == null ? "" : " (" + cause + ")");
    }
  }

  private final Entry[] entries;
  private long added;

  /** @param size capacity in entries */
  public EventRing(int size) {
    entries = new Entry[size];
  }

  /** Adds an event. */
  public void add(Entry entry) {
    entries[(int) (added++ % entries.length)] = entry;
  }

  /** Returns the entries, oldest first. */
  public List<Entry> entries() {
    List<Entry> result = new ArrayList<>();
    for (long i = Math.max(0, added - entries.length); i < added; i++) {
      result.add(entries[(int) (i % entries.length)]);
    }
    return result;
  }

  /** Returns the entries for one req, oldest first. */
  public List<Entry> entriesFor(String requestId) {
    return entries().stream().filter(e -> e.requestId().equals(requestId)).toList();
  }
}
