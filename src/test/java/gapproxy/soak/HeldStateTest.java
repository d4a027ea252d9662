package gapproxy.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.soak.HeldStatePlay.Fault;
import gapproxy.soak.HeldStatePlay.Result;
import gapproxy.soak.HeldStatePlay.Variant;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * How long states and places stay held at model servers whose answers, connections or machines are lost after an attempt has arrived, on a
 * real gateway process. The time runs from the end of an attempt at its server, whatever the gateway learns of it.
 */
class HeldStateTest {
  private static final int CLIENTS = 50;
  private static final Duration LENGTH = Duration.ofSeconds(12);
  private static final long SEED = 1;

  @TempDir
  private Path dir;

  private Result play(Variant variant) throws Exception {
    try (HeldStatePlay play = new HeldStatePlay(dir, variant, SEED)) {
      return play.play(CLIENTS, LENGTH);
    }
  }

  private void assertNothingIsHeldTooLong(Variant variant) throws Exception {
    Result result = play(variant);
    assertTrue(result.whole() > 0, result.toString());
    assertEquals(0, result.heldTooLong().size(), result.toString());
  }

  /** A place beside a read showed that it had arrived; it ended and its answer was lost. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsHeldAfterReadsWhoseAnswersAreLost() throws Exception {
    assertNothingIsHeldTooLong(Variant.of(Fault.READER_CONNECTIONS_FALL_SILENT).withLongReads(0.1));
  }

  /** The same where no place is ever asked for. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsHeldAfterLostAnswersWhereThereAreNoPlaces() throws Exception {
    assertNothingIsHeldTooLong(Variant.of(Fault.ALL_CONNECTIONS_FALL_SILENT).withLongReads(0.1).withoutPlaces());
  }

  /** The same with a short release time, while the process is held up at times. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsHeldAfterLostAnswersWithAShortReleaseTime() throws Exception {
    assertNothingIsHeldTooLong(Variant.of(Fault.ALL_CONNECTIONS_FALL_SILENT).withLongReads(0.1).withReleaseTime(Duration.ofMillis(500))
        .withHoldUps());
  }

  /** A place beside a read showed that it had arrived; then its reader vanished. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void noPlaceIsHeldAfterItsReaderHasVanished() throws Exception {
    assertNothingIsHeldTooLong(Variant.of(Fault.READERS_VANISH).withLongReads(0.1));
  }

  /** A release spared a state for a write that had arrived and waited; then its writer vanished. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void noStateIsHeldAfterTheWriterThatWaitedForItHasVanished() throws Exception {
    assertNothingIsHeldTooLong(Variant.of(Fault.WRITERS_VANISH).withLongReads(0.1).withWaitingWrites(0.1));
  }

  /** Most servers could not be reached, and the release's calls went to these. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsHeldWhileMostServersAreCutOff() throws Exception {
    assertNothingIsHeldTooLong(Variant.of(Fault.SERVERS_CUT_OFF).withLongReads(0.1).withWaitingWrites(0.05));
  }

  /** The same with two of three zones. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsHeldWhileMostZonesAreCutOff() throws Exception {
    assertNothingIsHeldTooLong(Variant.of(Fault.ZONES_CUT_OFF).withLongReads(0.1));
  }
}
