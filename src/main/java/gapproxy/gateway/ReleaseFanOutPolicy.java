package gapproxy.gateway;

/**
 * Decides how many servers a release calls as its time runs short. Each call costs a server work, so a release that is acknowledged at once
 * takes one. While most servers can't be reached, calls that follow one another would miss the few that can be, so a wave of calls that
 * brings no acknowledgement is followed by a wider one.
 */
final class ReleaseFanOutPolicy {
  /** How many other servers the waves within the release time call, beside the servers that the release names. */
  private static final int[] OTHERS_BY_WAVE = {0, 1, 2, 6};
  /** The number of waves that are made within the release time. */
  static final int WAVES_IN_TIME = OTHERS_BY_WAVE.length;

  /**
   * What is known before a wave of calls.
   *
   * @param number of the wave, from 1
   * @param holderUnreachable whether the server that the release names is known to be unreachable and is not called
   */
  record Wave(int number, boolean holderUnreachable) {}

  private ReleaseFanOutPolicy() {}

  /** How many other servers a wave within the release time calls. */
  static int otherServers(Wave wave) {
    int others = OTHERS_BY_WAVE[wave.number - 1];
    return wave.holderUnreachable ? Math.max(1, others) : others;
  }
}
