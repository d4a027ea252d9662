package gapproxy.memory;

/** The purposes for which memory is charged to a {@link MemoryBudget}. The names appear in metrics and logs. */
public enum MemoryUse {
  /** Open connections: buffers for request and response heads, filter state, selector keys. */
  CONNECTION,
  /** Requests that are being received, wait behind others on their connection, or are being handled. */
  REQUEST,
  /** Parts of responses that are queued between the reading thread and the loop, and responses that are buffered until complete. */
  RESPONSE_IN,
  /** Responses that have not been written to the client yet. */
  RESPONSE_OUT,
  /** Ids of requests whose effect may have happened, which are kept when their clients have gone. */
  EFFECT_RECORD
}
