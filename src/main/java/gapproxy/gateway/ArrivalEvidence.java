package gapproxy.gateway;

/**
 * What shows that an attempt has come to its server. News of a server is no news of an attempt: a single connection may fall silent for
 * good, without an error, while the server answers on others.
 */
enum ArrivalEvidence {
  /** Something came back on the attempt's own connection. */
  OWN_CONNECTION,
  /** A reservation was answered with a held place, which a server gives only beside a read that is out. */
  RESERVATION
}
