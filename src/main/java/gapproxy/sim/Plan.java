package gapproxy.sim;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import gapproxy.config.ConfigException;
import gapproxy.config.ConfigReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The size of a run, its traffic and its faults: drawn from a seed, or read from JSON.
 *
 * @param about description of the plan's purpose, for readers
 * @param pace of the engines, relative to their usual speed
 * @param rate reqs per second
 * @param shuffle whether steps at the same instant run in random order
 * @param bytes how data is cut into segments: mixed, single (mostly single bytes) or together
 * @param holds whether gateways make reservations at writers before a read ends
 * @param scope within which engines recognize repeats of a keyed req: all, zone or cell
 */
public record Plan(String about, long seed, int gateways, int zones, int readers, int writers, double pace, double rate,
    boolean shuffle, String bytes, boolean holds, String scope, List<Fault> faults) {

  /**
   * One fault.
   *
   * @param at milliseconds from the start
   * @param lasts milliseconds until it ends
   * @param which index of the engine or gateway, modulo their number
   * @param amount severity, from 0 to 1; its meaning depends on the kind
   * @param when a stage of reqs: from {@code at} on, the fault waits until a req is in that stage; empty for no wait
   */
  public record Fault(String kind, @JsonProperty("at_ms") int at, @JsonProperty("for_ms") int lasts, int which, double amount,
      String when) {}

  static final List<String> KINDS = List.of("engine dies", "engine silent", "engine slow", "engine fails", "answers lost",
      "resets", "slow handshake", "engine drains", "texts forgotten", "states lost", "site cut", "list late", "list fails",
      "gateway dies", "gateway stands still", "slow network", "burst",
      "one-way cut", "connects hang", "narrow network", "clock jumps", "reports late", "reports wrong", "list lost", "list old",
      "drains in waves", "torn list", "retries at once", "hang-ups", "memory full", "engine full", "transfers fail", "engine replaced");
  // Number of kinds that seeds draw from. A larger number would change the plan of every seed.
  private static final int SEEDED_KINDS = 30;
  private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  /** The plan of a seed, with up to four faults that may overlap. */
  public static Plan of(long seed) {
    SplittableRandom random = new SplittableRandom(seed ^ 0x706c616eL);
    List<Fault> faults = new ArrayList<>();
    int faultCount = random.nextInt(5);
    for (int i = 0; i < faultCount; i++) {
      // Short faults end before the decisions have reacted to them.
      int maxMillis = random.nextInt(3) == 0 ? 200 : 2500;
      faults.add(new Fault(KINDS.get(random.nextInt(SEEDED_KINDS)), 300 + random.nextInt(5000), 20 + random.nextInt(maxMillis),
          random.nextInt(1000), random.nextDouble(), ""));
    }
    String[] bytes = {"mixed", "mixed", "mixed", "single", "together"};
    return new Plan("", seed, 1 + random.nextInt(3), 1 + random.nextInt(2), random.nextInt(3), 1 + random.nextInt(3),
        random.nextInt(3) == 0 ? 0.15 : 1, 4 + random.nextInt(12), random.nextInt(3) == 0, bytes[random.nextInt(bytes.length)],
        false, "all", List.copyOf(faults));
  }

  /** The plan of a seed with one more fault that waits for a req in a given stage; used to reach pairs that seeds rarely produce. */
  public static Plan aimed(long seed, String kind, String stage) {
    Plan plan = of(seed);
    SplittableRandom random = new SplittableRandom(seed ^ 0x61696dL);
    List<Fault> faults = new ArrayList<>(plan.faults);
    faults.add(new Fault(kind, 300 + random.nextInt(3000), 20 + random.nextInt(2500), random.nextInt(1000), random.nextDouble(), stage));
    return new Plan("aimed at " + kind + " while " + stage, seed, plan.gateways, plan.zones, Math.max(1, plan.readers),
        plan.writers, plan.pace, plan.rate, plan.shuffle, plan.bytes, plan.holds, plan.scope, List.copyOf(faults));
  }

  /**
   * Reads a plan from JSON.
   *
   * @param name name of the text in error messages
   * @throws ConfigException if the text is not a valid plan; lists every error with its place in the text
   */
  public static Plan parse(String text, String name) throws ConfigException {
    try (InputStream in = Plan.class.getResourceAsStream("plan.schema.json")) {
      String schema = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return JSON.treeToValue(ConfigReader.validate(text, name, schema), Plan.class);
    } catch (JsonProcessingException e) {
      throw new ConfigException(List.of(name + ": " + e.getOriginalMessage()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The plan as JSON, as {@link #parse} reads it. */
  public String json() {
    try {
      return JSON.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private Plan copyWith(int newGateways, int newZones, int newReaders, List<Fault> newFaults) {
    return new Plan(about, seed, newGateways, newZones, newReaders, writers, pace, rate, shuffle, bytes, holds, scope,
        List.copyOf(newFaults));
  }

  /** Plans that are slightly smaller than this one, those with the largest reduction first. */
  List<Plan> smaller() {
    List<Plan> candidates = new ArrayList<>();
    // Leaves out runs of consecutive faults, as in delta debugging.
    for (int half = faults.size() / 2; half >= 1; half /= 2) {
      for (int from = 0; from + half <= faults.size(); from += half) {
        List<Fault> remaining = new ArrayList<>(faults);
        remaining.subList(from, from + half).clear();
        candidates.add(copyWith(gateways, zones, readers, remaining));
      }
    }
    if (faults.size() == 1) {
      candidates.add(copyWith(gateways, zones, readers, List.of()));
    }
    if (gateways > 1) {
      candidates.add(copyWith(gateways - 1, zones, readers, faults));
    }
    if (zones > 1) {
      candidates.add(copyWith(gateways, 1, readers, faults));
    }
    if (readers > 0) {
      candidates.add(copyWith(gateways, zones, readers - 1, faults));
    }
    for (int i = 0; i < faults.size(); i++) {
      Fault fault = faults.get(i);
      if (fault.lasts > 40) {
        List<Fault> shorter = new ArrayList<>(faults);
        shorter.set(i, new Fault(fault.kind, fault.at, fault.lasts / 2, fault.which, fault.amount, fault.when));
        candidates.add(copyWith(gateways, zones, readers, shorter));
      }
    }
    return candidates;
  }
}
