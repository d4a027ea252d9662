package gapproxy.gateway;

import gapproxy.engine.EngineFailure;
import gapproxy.http.HttpClient;

/** Why an answer that had begun broke off. */
enum StreamBreak {
  /** Its server stated a length that is longer than an answer may be. */
  OVERSIZED,
  /** What came is not valid HTTP/1.1. */
  MALFORMED,
  /** The response is valid, but it holds what is no event, or not all events. */
  INVALID_EVENTS,
  /** The connection ended, or could not be read on. */
  CONNECTION_ENDED;

  /**
   * The cause of a failure.
   *
   * @param call the call that failed; null where it is not known
   */
  static StreamBreak of(EngineFailure failure, HttpClient.Call call) {
    HttpClient.ResponseFault fault = call == null ? null : call.responseFault();
    if (fault != null) {
      return fault == HttpClient.ResponseFault.OVERSIZED ? OVERSIZED : MALFORMED;
    }
    return failure.status() == 0 ? CONNECTION_ENDED : INVALID_EVENTS;
  }
}
