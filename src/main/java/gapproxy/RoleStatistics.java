package gapproxy;

import static gapproxy.Durations.toSeconds;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/** Statistics of all servers of one role, as seen by this gateway; makes no decisions. */
final class RoleStatistics {
  private static final double ROUNDS_PER_SECOND = 10;  // maintenance rounds
  private static final double DECAY_PER_ROUND = 0.95;  // the weights sum to 20 rounds, i.e. two seconds
  private static final int TIME_PER_TOKEN_BINS = 12;
  private static final double FIXED_COST_TOKENS = 500;  // cost of every prompt, even if nearly all of it is cached

  /** Microseconds per token; the bins double in width. */
  final Histogram timePerToken = new Histogram(TIME_PER_TOKEN_BINS);
  /** How long attempts waited beyond the usual read time. */
  final DurationHistogram queueWaits;
  /** Attempts with neither a first token nor a finished read yet. */
  final Set<Attempt> waitingAttempts = new LinkedHashSet<>();
  private final double loadSmoothing, rateRounds;
  private int roundsWithWarmServers;
  /** Successes per warm server, with exponential decay. */
  double decayedSuccesses;
  /** Successes per second and warm server, averaged over {@link #rateRounds} rounds in which some server was warm. */
  double baselineRate;
  /** The memory shares taken by this gateway's own writes: their current sum over all servers, and a smoothed mean per warm server. */
  double ownMemoryShare, meanOwnMemoryShare;
  /** The number of warm servers, at least 1, and the number of ready servers while none is warm, otherwise 0. */
  int warmServers = 1, readyWhileAllCold;

  /**
   * @param firstWaitBinSeconds the upper edge of the first bin of waits
   * @param loadSmoothing the weight of the current value in the mean own memory share, each round
   * @param rateRounds the number of rounds over which the baseline rate is averaged
   */
  RoleStatistics(double firstWaitBinSeconds, double loadSmoothing, double rateRounds) {
    this.queueWaits = new DurationHistogram(firstWaitBinSeconds);
    this.loadSmoothing = loadSmoothing;
    this.rateRounds = rateRounds;
  }

  /** Ages the statistics by one maintenance round. */
  void update(boolean decay, int warmNow, int ready) {
    readyWhileAllCold = warmNow == 0 ? ready : 0;
    warmServers = Math.max(1, warmNow);
    decayedSuccesses *= DECAY_PER_ROUND;
    baselineRate += readyWhileAllCold > 0 ? 0 : (recentRate() - baselineRate) / Math.min(rateRounds, ++roundsWithWarmServers);
    meanOwnMemoryShare += (ownMemoryShare / warmServers - meanOwnMemoryShare) * loadSmoothing;
    if (decay) {
      timePerToken.halve();
    }
  }

  /** The usual time without queueing, in seconds, to read a prompt with {@code tokensToRead} uncached tokens. */
  double usualReadSeconds(double tokensToRead) {
    return Math.pow(2, timePerToken.quantile(0.25)) / 1e6 * (FIXED_COST_TOKENS + tokensToRead);
  }

  /**
   * The seconds within which the given fraction of attempts reach their first token or the end of their read. Queue waits are added to the
   * read time: a single time per token would scale the waits of short prompts up for long ones.
   */
  double quantileSeconds(double fraction, double tokensToRead) { return usualReadSeconds(tokensToRead) + queueWaits.quantile(fraction); }

  /** Records the duration of a successful attempt, per token that the server had to read (including {@link #FIXED_COST_TOKENS}). */
  void recordTimePerToken(Attempt attempt, Duration took) {
    timePerToken.add((int) Math.floor(Math.log(toSeconds(took) * 1e6 / (FIXED_COST_TOKENS + attempt.tokensToRead)) / Math.log(2)), 1);
  }

  /** The part of an attempt's duration that exceeds the usual read time; the whole duration unless the attempt is a remote read. */
  double queueWaitSeconds(Attempt attempt, Duration took) {
    return toSeconds(took) - (attempt.remoteRead ? usualReadSeconds(attempt.tokensToRead) : 0);
  }

  /**
   * Recent successes per second and warm server. Each success is divided by the number of warm servers at its end; otherwise, with all
   * servers cold at once, the work of all of them would count as that of one server.
   */
  double recentRate() { return decayedSuccesses / (1 / ROUNDS_PER_SECOND / (1 - DECAY_PER_ROUND)); }
}
