package gapproxy;

import java.util.ArrayDeque;
import java.util.Deque;

/** The actors' mailboxes and the loop that delivers their messages, on the thread of the owner. */
final class Mailboxes {
  private final Deque<Actor> highPriority = new ArrayDeque<>();
  private final Deque<Actor> normalPriority = new ArrayDeque<>();

  /** An object that receives messages one at a time, in the order in which they were posted to it. */
  abstract static class Actor {
    private final Deque<Object> inbox = new ArrayDeque<>();
    private final boolean isHighPriority;

    Actor(boolean isHighPriority) {
      this.isHighPriority = isHighPriority;
    }

    abstract void receive(Object message);
  }

  /** Queues a message for an actor. */
  void post(Actor to, Object message) {
    to.inbox.add(message);
    (to.isHighPriority ? highPriority : normalPriority).add(to);
  }

  /** Delivers messages until none is left, including messages posted meanwhile; those of high-priority actors always come first. */
  void deliverAll() {
    while (!highPriority.isEmpty() || !normalPriority.isEmpty()) {
      Actor actor = highPriority.isEmpty() ? normalPriority.poll() : highPriority.poll();
      actor.receive(actor.inbox.poll());
    }
  }
}
