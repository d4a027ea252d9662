package gapproxy.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Converts the start times of servers, which server lists give by a wall clock, to the loop's monotonic clock. Confined to one loop.
 *
 * <p>It protects against wall clock steps. Converted by the current clock alone, a start time would move with each step, so that a server
 * that has just started would pass as warm, or stay cold for an hour. Therefore the offsets seen between the two clocks since the process
 * started are kept, and a start time is converted by the offset that makes it the latest without putting it in the future. Treating a warm
 * server as cold costs some of its capacity for one warm-up, whereas treating a cold one as warm may overload it.
 *
 * <p>If the wall clock is ahead when the process starts, there is nothing to compare the first list with, and its start times are accepted.
 */
final class StartTimeConverter {
  /** A smaller change of the offset is taken for clock slewing. */
  private static final Duration MIN_STEP = Duration.ofMillis(200);
  /** How far the clocks of two machines may differ. */
  private static final Duration MAX_CLOCK_SKEW = Duration.ofMillis(500);
  /** No list omits a started server for longer than this. */
  private static final Duration MAX_LIST_DELAY = Duration.ofSeconds(30);
  private static final int MAX_OFFSETS = 8;

  /** The wall clock minus the monotonic clock, as an instant; the oldest offset first, the current one last. */
  private final List<Instant> clockOffsets = new ArrayList<>();

  StartTimeConverter(Duration now, Instant wall) {
    clockOffsets.add(wall.minus(now));
  }

  /** Records the current offset between the clocks. After a step, the earlier offsets are kept beside it. */
  private void recordOffset(Duration now, Instant wall) {
    Instant currentOffset = wall.minus(now);
    for (int i = 0; i < clockOffsets.size(); i++) {
      if (Duration.between(clockOffsets.get(i), currentOffset).abs().compareTo(MIN_STEP) <= 0) {
        clockOffsets.remove(i);
        clockOffsets.add(currentOffset);
        return;
      }
    }
    if (clockOffsets.size() == MAX_OFFSETS) {
      clockOffsets.remove(0);
    }
    clockOffsets.add(currentOffset);
  }

  /**
   * Converts the start time of a server.
   *
   * @param reportedStart its start time, as the list gives it
   * @param previousListAt when the previous list arrived, which did not contain this start time, or null if there was none
   */
  Duration startTime(Instant reportedStart, Duration now, Instant wall, Duration previousListAt) {
    recordOffset(now, wall);
    Duration latest = null;
    for (Instant offset : clockOffsets) {
      Duration start = Duration.between(offset, reportedStart);
      boolean future = start.compareTo(now.plus(MAX_CLOCK_SKEW)) > 0;
      if (!future && (latest == null || start.compareTo(latest) > 0)) {
        latest = start;
      }
    }
    if (latest == null || latest.compareTo(now) > 0) {
      // No offset explains the start time: the server counts as cold from now on.
      return now;
    }
    boolean contradicted = previousListAt != null && latest.compareTo(previousListAt.minus(MAX_LIST_DELAY)) < 0;
    return contradicted ? previousListAt : latest;
  }
}
