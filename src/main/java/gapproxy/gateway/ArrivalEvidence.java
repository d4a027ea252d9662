package gapproxy.gateway;

/**
 * The evidence that an attempt has arrived at its server. Other traffic from that server is no evidence: a single connection may silently
 * stop carrying data, without an error, while the server still answers on others.
 *
 * <p>Evidence tells of one moment. The attempt may end at its server right afterwards with its answer lost, so {@link EvidencePolicy} limits
 * how long it counts.
 */
enum ArrivalEvidence {
  /** Data was received on the attempt's own connection. */
  OWN_CONNECTION,
  /** The server granted a reservation, which it does only while it knows of an active read of the req. */
  RESERVATION
}
