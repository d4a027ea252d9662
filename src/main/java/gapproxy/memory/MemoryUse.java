package gapproxy.memory;

/** What bytes are kept for. */
public enum MemoryUse {
  /** Connections themselves: buffers of their heads, filters, keys of selectors. */
  CONNECTION,
  /** Requests that arrive, wait behind others on their connection, or are in hand. */
  REQUEST,
  /** Responses on their way from the thread that reads them to the loop, and parts of them that are not whole. */
  RESPONSE_IN,
  /** Responses that wait to be written to their client. */
  RESPONSE_OUT
}
