package gapproxy.soak;

/**
 * A fault that the harness adds to itself on purpose and that looks like a fault of the gateway; tests use it to show that {@link
 * SoakJudge} detects such faults.
 */
enum PlantedFault {
  /** Discovery sends the gateways no updates about drains and restarts of model servers. */
  DRAIN_NOT_TOLD,
  /** Model servers acknowledge release calls but release nothing. */
  RELEASE_IGNORED,
  /** Gateways are configured to treat the class that must not be repeated as one that may be. */
  EFFECT_MISNAMED,
  /** The judge is not told of some answers that clients get. */
  ANSWER_NOT_SEEN,
  /** The judge learns of kills only after they happened. */
  KILL_NOT_KNOWN,
  /** Clients have a shorter time budget than they state in their requests. */
  LESS_TIME,
  /** The judge is told that clients closed their connections before they sent their requests. */
  CLOSED_BEFORE,
  /** Servers that have just started tolerate almost no load. */
  WEAK_START,
  /** Events carry a time of creation that lies well before the time at which they are sent. */
  OLD_EVENTS
}
