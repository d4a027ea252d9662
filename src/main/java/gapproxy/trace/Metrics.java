package gapproxy.trace;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** The Prometheus metrics of one gateway. Thread-safe. */
public final class Metrics {
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter ruleViolationCounter = counter("gapproxy_rule_violations_total",
      "Rule violations that the gateway detected itself.", "rule");
  private final Counter sendRefusalCounter = counter("gapproxy_send_refusals_total", "Sends refused by the final check before sending.",
      "cause");
  private final Counter attempts = counter("gapproxy_attempts_total", "Attempts at model servers that have ended.", "path", "outcome");
  private final Counter requests = counter("gapproxy_requests_total", "Requests that got their final answer.", "end");
  private final Counter releases = counter("gapproxy_releases_total", "Calls that release held resources.", "result");
  private final Counter earlyReleases = counter("gapproxy_early_releases_total",
      "Releases for attempts that are not known to have arrived.", "path");
  private final Counter lateReleases = counter("gapproxy_late_releases_total", "Releases that were not acknowledged in time.");
  private final Counter holdsEnded = counter("gapproxy_held_ended_total", "Ids under which nothing is held any longer, by proof.", "proof");
  private final Counter silentAttempts = counter("gapproxy_attempts_silent_total",
      "Attempts that were ended because the server sent nothing.", "path", "evidence");
  private final Counter silentStreams = counter("gapproxy_streams_silent_total",
      "Answers that were ended because the server fell silent.", "cause");
  private final Counter brokenStreams = counter("gapproxy_streams_broken_total",
      "Answers that were ended because they broke off or were not valid.", "cause");
  private final Counter lateTicks = counter("gapproxy_held_up_total", "Ticks that ran more than 0.2 s late.");
  private final Counter lists = counter("gapproxy_lists_total", "Lists of model servers that were applied or not available.", "form");
  private final Counter faults = counter("gapproxy_faults_total", "Internal faults after which the gateway continued.", "kind");

  private final Counter memoryRefusals = counter("gapproxy_memory_refusals_total", "Refused requests for more memory for peers.", "use");
  private final Gauge memory = Gauge.builder().name("gapproxy_memory_charged_bytes").help("Memory in use for peers, in bytes.")
      .labelNames("use").register(registry);

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  private static String label(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  /** Counts a violation of a rule that the gateway detected itself. */
  public void ruleViolation(Enum<?> rule) {
    ruleViolationCounter.labelValues(label(rule)).inc();
  }

  /** Returns the number of violations of a rule. */
  public long ruleViolations(Enum<?> rule) {
    return ruleViolationCounter.labelValues(label(rule)).getLongValue();
  }

  /** Counts a send that was refused by the final check before sending. */
  public void sendRefusal(Enum<?> cause) {
    sendRefusalCounter.labelValues(label(cause)).inc();
  }

  /** Returns the number of sends that were refused for a cause. */
  public long sendRefusals(Enum<?> cause) {
    return sendRefusalCounter.labelValues(label(cause)).getLongValue();
  }

  /** Counts an attempt that has ended. */
  public void attempt(Enum<?> path, Enum<?> outcome) {
    attempts.labelValues(label(path), label(outcome)).inc();
  }

  /** Counts a req that got its final answer. */
  public void finalAnswer(String end) {
    requests.labelValues(end).inc();
  }

  /** Counts a release call by its result. */
  public void release(boolean acknowledged) {
    releases.labelValues(acknowledged ? "acknowledged" : "failed").inc();
  }

  /** Counts a release for an attempt that is not known to have arrived at its server. */
  public void earlyRelease(String path) {
    earlyReleases.labelValues(path).inc();
  }

  /** Counts a release that was not acknowledged in time. */
  public void lateRelease() {
    lateReleases.inc();
  }

  /**
   * Counts an id of a req under which no server holds resources any longer.
   *
   * @param proof what showed that nothing is held
   */
  public void holdEnded(Enum<?> proof) {
    holdsEnded.labelValues(label(proof)).inc();
  }

  /**
   * Counts an attempt that was ended because its server sent nothing.
   *
   * @param evidence what had shown that the attempt arrived, or null
   */
  public void silentAttempt(Enum<?> path, Enum<?> evidence) {
    silentAttempts.labelValues(label(path), evidence == null ? "none" : label(evidence)).inc();
  }

  /**
   * Counts an answer that was ended because its server fell silent.
   *
   * @param cause what came last
   */
  public void silentStream(Enum<?> cause) {
    silentStreams.labelValues(label(cause)).inc();
  }

  /**
   * Counts an answer that had begun and was ended because it broke off or was not valid.
   *
   * @param cause what was wrong with it
   */
  public void brokenStream(Enum<?> cause) {
    brokenStreams.labelValues(label(cause)).inc();
  }

  /** Counts a timer of the decision logic that ran late because the process was stalled. */
  public void lateTick() {
    lateTicks.inc();
  }

  /**
   * Sets the memory in use for peers, and counts refusals to let it grow.
   *
   * @param bytes the memory that is charged for this use now
   * @param refused refusals since the previous call
   */
  public void memory(Enum<?> use, long bytes, long refused) {
    memory.labelValues(label(use)).set(bytes);
    memoryRefusals.labelValues(label(use)).inc(refused);
  }

  /** Counts a server list that was applied, or that was not available, by its form. */
  public void list(Enum<?> form) {
    lists.labelValues(label(form)).inc();
  }

  /** Counts an internal fault of the given kind, after which the gateway continued. */
  public void fault(String kind) {
    faults.labelValues(kind).inc();
  }

  /** Returns all metrics in the Prometheus text format. */
  public String toPrometheusText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      new PrometheusTextFormatWriter(false).write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e); // a ByteArrayOutputStream doesn't throw
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
