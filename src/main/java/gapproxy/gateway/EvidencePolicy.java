package gapproxy.gateway;

import java.time.Duration;

/**
 * Decides how long the evidence that an attempt is out at its server counts, and when it is renewed. An attempt that is known to be out at
 * one moment may end at the next one without its answer arriving, and whatever it leaves is held from then on. So what may be held is
 * released unless newer evidence comes in time, and enough of the release time is left for a release whose first calls fail.
 *
 * <p>Evidence of a read is renewed by a further call for the reservation beside it, which a server grants only while the read is out.
 */
final class EvidencePolicy {
  /** Fractions of the release time; the time between the two is for the answer to the renewal. */
  private static final double RENEWAL_FRACTION = 0.4, EXPIRY_FRACTION = 0.6;

  private final Duration renewAfter, expireAfter;

  /** @param releaseTime the longest time a resource may stay held without an attempt that is out */
  EvidencePolicy(Duration releaseTime) {
    renewAfter = fraction(releaseTime, RENEWAL_FRACTION);
    expireAfter = fraction(releaseTime, EXPIRY_FRACTION);
  }

  static Duration fraction(Duration of, double fraction) {
    return Duration.ofNanos((long) (of.toNanos() * fraction));
  }

  /** How old evidence is when newer evidence is asked for. */
  Duration renewAfter() {
    return renewAfter;
  }

  /** How old evidence is when it no longer counts, and what may be held is released. */
  Duration expireAfter() {
    return expireAfter;
  }
}
