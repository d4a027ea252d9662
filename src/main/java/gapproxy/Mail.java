package gapproxy;

import java.util.ArrayDeque;
import java.util.Deque;

/** The actors' inboxes and the one loop that empties them. */
final class Mail {
  private final Deque<Actor> urgent = new ArrayDeque<>();
  private final Deque<Actor> later = new ArrayDeque<>();

  abstract static class Actor {
    private final Deque<Object> inbox = new ArrayDeque<>();
    private final boolean first;

    Actor(boolean first) {
      this.first = first;
    }

    abstract void take(Object note);
  }

  void post(Actor to, Object note) {
    to.inbox.add(note);
    (to.first ? urgent : later).add(to);
  }

  void empty() {
    while (!urgent.isEmpty() || !later.isEmpty()) {
      Actor a = urgent.isEmpty() ? later.poll() : urgent.poll();
      a.take(a.inbox.poll());
    }
  }
}
