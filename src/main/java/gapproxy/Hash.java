package gapproxy;

/** A hash that gives the same at every gateway. */
final class Hash {
  private Hash() {}

  /** A number above 0 and up to 1. */
  static double part(long key, long id) { return (mixed(key ^ id) + 1.0) / Long.MAX_VALUE; }

  private static long mixed(long z) {
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return (z ^ (z >>> 31)) >>> 1;
  }
}
