package gapproxy.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.soak.EarlyAnswerPlay.Answer;
import gapproxy.soak.EarlyAnswerPlay.Result;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Usual clients beside large requests that model servers read slowly, on a real gateway process. */
class EarlyAnswerTest {
  private static final int BYTES_PER_SECOND = 40_000, USUAL_CLIENTS = 6, LARGE_CLIENTS = 6, LARGE_DEADLINE_MS = 5000,
      LARGE_PROMPT_TOKENS = 65_536;

  @TempDir
  private Path dir;

  private Result play(Answer answer) throws Exception {
    try (EarlyAnswerPlay play = new EarlyAnswerPlay(dir, answer, BYTES_PER_SECOND)) {
      return play.play(USUAL_CLIENTS, LARGE_CLIENTS, LARGE_DEADLINE_MS, LARGE_PROMPT_TOKENS, Duration.ofSeconds(6));
    }
  }

  /** Usual requests waited until their deadline behind large ones that their servers had answered and still read. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void usualRequestsAreServedBesideLargeOnesThatAreAnsweredBeforeTheyAreRead() throws Exception {
    Result result = play(Answer.EARLY_SUCCESS);
    assertEquals(0, result.usual().refused() + result.usual().other(), result.toString());
    assertTrue(result.usual().whole() > 0 && result.large().whole() > 0, result.toString());
  }

  /** The same where the large ones are read whole before they are answered. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void usualRequestsAreServedBesideLargeOnesThatAreReadSlowly() throws Exception {
    Result result = play(Answer.WHEN_READ);
    assertEquals(0, result.usual().refused() + result.usual().other(), result.toString());
    assertTrue(result.usual().whole() > 0, result.toString());
  }
}
