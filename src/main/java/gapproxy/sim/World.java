package gapproxy.sim;

import gapproxy.audit.Traffic;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/** A scene on virtual time, judged after every step. */
public final class World {
  private static final Duration LIMIT = Duration.ofSeconds(60);

  /** What a seed showed; {@code found} is empty where all held. */
  public record Verdict(long seed, List<String> found, long steps, Duration span, long taken, Map<String, Long> ends,
      Map<String, String> answers, Map<String, Integer> faults,
      Map<String, Long> coverage, long bytes, long trace, List<Sequence.Step> timeline) {
    public boolean held() {
      return found.isEmpty();
    }
  }

  private final SimGround ground;
  private final Scene scene;

  /** The run of a seed. */
  public World(long seed, boolean told) {
    this(Plan.of(seed), told);
  }

  /** @param told whether a timeline is kept */
  public World(Plan plan, boolean told) {
    this(plan, told, UnaryOperator.identity());
  }

  World(Plan plan, boolean told, UnaryOperator<Traffic> ear) {
    SplittableRandom all = new SplittableRandom(plan.seed());
    SplittableRandom chance = all.split();
    ground = new SimGround(plan, all);
    scene = new Scene(plan, ground, chance, told, ear);
  }

  /** Runs it to its end or to the first step that breaks something. */
  public Verdict run() {
    try {
      scene.begin();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    ground.scheduler.run(LIMIT, scene::step);
    return scene.verdict(ground.scheduler.done(), ground.net.bytes, ground.net.trace());
  }
}
