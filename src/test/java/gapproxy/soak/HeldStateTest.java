package gapproxy.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.soak.HeldStatePlay.Fault;
import gapproxy.soak.HeldStatePlay.Result;
import gapproxy.soak.HeldStatePlay.Variant;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * How long states and places stay held at model servers whose answers, connections or machines are lost after an attempt has arrived, on a
 * real gateway process. The time runs from the end of an attempt at its server, whatever the gateway learns of it.
 */
class HeldStateTest {
  private static final int CLIENTS = 50, FEW_CLIENTS = 20;
  private static final Duration LENGTH = Duration.ofSeconds(12);
  private static final long SEED = 1;

  @TempDir
  private Path dir;

  private Result play(Variant variant, int clients) throws Exception {
    try (HeldStatePlay play = new HeldStatePlay(dir, variant, SEED)) {
      return play.play(clients, LENGTH);
    }
  }

  private void assertNothingIsHeldTooLong(Variant variant) throws Exception {
    Result result = play(variant, CLIENTS);
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

  /**
   * The other side: reads of 0.9 and 2 s that are out are no reason for a crowd of calls, and keep their places. The first ones of a play
   * are read anew by the time-outs of the decisions, which expect shorter ones.
   */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void soundLongReadsGoOnAndKeepTheirPlaces() throws Exception {
    Result result = play(Variant.of(Fault.NONE).withLongReads(1), FEW_CLIENTS);
    assertEquals(0, result.heldTooLong().size(), result.toString());
    assertEquals(result.requests(), result.whole(), result.toString());
    assertTrue(result.placesLost() <= result.readTwice(), result.toString());
    assertTrue(result.readTwice() <= result.requests() / 50, result.toString());
    assertTrue(result.mostReservations() <= 15 && result.mostReleases() <= 15, result.toString());
  }

  /** The fault itself, planted again: evidence of a read counts for as long as the read is out. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedTrustInOldEvidenceIsFound() throws Exception {
    Path classes = SourceMutation.compile(dir, List.of(
        new SourceMutation("gateway/EvidencePolicy.java", "EXPIRY_FRACTION = 0.6", "EXPIRY_FRACTION = 6")));
    Variant variant = Variant.of(Fault.ALL_CONNECTIONS_FALL_SILENT).withLongReads(0.1);
    try (HeldStatePlay play = new HeldStatePlay(dir, variant, SEED, classes)) {
      Result result = play.play(CLIENTS, LENGTH);
      assertTrue(result.heldTooLong().size() > 0, result.toString());
    }
  }
}
