package gapproxy;

/** A hash that yields the same values at every gateway, so that gateways agree without communication. */
final class Hash {
  private Hash() {}

  /** Maps a key and an id to a number above 0 and up to 1. */
  static double toUnitInterval(long key, long id) { return (mix64(key ^ id) + 1.0) / Long.MAX_VALUE; }

  /** The SplitMix64 finalizer, reduced to a non-negative number. */
  private static long mix64(long z) {
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return (z ^ (z >>> 31)) >>> 1;
  }
}
