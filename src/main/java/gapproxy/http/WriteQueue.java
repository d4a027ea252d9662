package gapproxy.http;

import gapproxy.memory.MemoryBudget;
import gapproxy.memory.MemoryUse;
import gapproxy.runtime.Loop;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/**
 * Tracks the bytes that were handed to a client connection and are not written yet. All responses of the connection count together,
 * because a client that does not read may have pipelined many requests. Methods are called on the loop; the transport reports completed
 * writes on any thread.
 */
final class WriteQueue {
  /** Memory of a queued message besides its content. */
  private static final int MESSAGE_OVERHEAD_BYTES = 1 << 10;
  /** Bytes that may be queued however much other shares hold: a few events, so that a stream makes progress. */
  private static final int GUARANTEED_BYTES = 8 << 10;

  private final Connection<?> connection;
  private final Loop loop;
  private final int maxPendingBytes;
  private final MemoryBudget.Share share;
  private final MemoryBudget.Charge charge;
  private volatile boolean notifyWhenWritable;
  private Runnable onWritable = () -> { };                    // runs on the loop

  /** @param maxPendingBytes maximum of unwritten bytes, however much of the memory budget is free */
  WriteQueue(Connection<?> connection, Loop loop, int maxPendingBytes, MemoryBudget budget) {
    this.connection = connection;
    this.loop = loop;
    this.maxPendingBytes = maxPendingBytes;
    share = budget.newShare(MemoryUse.RESPONSE_OUT, GUARANTEED_BYTES);
    charge = share.newCharge();
  }

  /** Writes a message after those queued before it. */
  void write(Object message, int bytes) {
    charge.forceGrow(bytes + MESSAGE_OVERHEAD_BYTES);
    @SuppressWarnings("unchecked")
    Connection<Object> transportConnection = (Connection<Object>) connection;
    transportConnection.write(message, new EmptyCompletionHandler<WriteResult<Object, Object>>() {
      @Override
      public void completed(WriteResult<Object, Object> r) {
        messageWritten(bytes + MESSAGE_OVERHEAD_BYTES);
      }
    });
  }

  private void messageWritten(int bytes) {
    charge.shrink(bytes);
    if (notifyWhenWritable && share.usedBytes() <= maxPendingBytes / 2 && share.isBelowHalfLimit()) {
      notifyWhenWritable = false;
      loop.execute(() -> onWritable.run());
    }
  }

  /** Whether the source should pause. If true, the task of {@link #onWritable} runs once it may continue. */
  boolean isFull() {
    boolean full = share.usedBytes() > maxPendingBytes || !share.hasRoom();
    if (full) {
      notifyWhenWritable = true;
      // Everything was written meanwhile, so no completed write will run the task.
      if (share.usedBytes() == 0) {
        notifyWhenWritable = false;
        return false;
      }
    }
    return full;
  }

  /** Sets the task that runs on the loop when writing may continue. */
  void onWritable(Runnable task) {
    onWritable = task;
  }

  /** Releases the memory charge when the connection is closed. */
  void close() {
    charge.close();
  }
}
