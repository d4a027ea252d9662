package gapproxy.gateway;

import gapproxy.memory.MemoryBudget;
import gapproxy.memory.MemoryUse;
import gapproxy.runtime.Loop;
import gapproxy.trace.Metrics;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Reports the memory kept for peers: always in the metrics, and in the log when memory was refused. Confined to the gateway's loop. */
final class MemoryReport {
  private static final Logger LOG = LoggerFactory.getLogger(MemoryReport.class);
  /** Limits logging to one line a second, since thousands of reqs may be refused in that time. */
  private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);

  private final MemoryBudget budget;
  private final Loop loop;
  private final Metrics metrics;
  private final Map<MemoryUse, Long> reportedRefusals = new EnumMap<>(MemoryUse.class);
  private Duration lastUpdate = Duration.ZERO;

  MemoryReport(MemoryBudget budget, Loop loop, Metrics metrics) {
    this.budget = budget;
    this.loop = loop;
    this.metrics = metrics;
  }

  /** Updates the metrics, and logs if memory was refused since the last update. */
  void update() {
    if (loop.now().minus(lastUpdate).compareTo(MIN_INTERVAL) < 0) {
      return;
    }
    lastUpdate = loop.now();
    boolean refused = false;
    for (MemoryUse use : MemoryUse.values()) {
      long newRefusals = budget.refusals(use) - reportedRefusals.getOrDefault(use, 0L);
      reportedRefusals.merge(use, newRefusals, Long::sum);
      metrics.memory(use, budget.charged(use), newRefusals);
      refused |= newRefusals > 0;
    }
    if (refused) {
      log("memory for data from peers was refused because the budget is exhausted");
    }
  }

  /** Bytes that are kept on behalf of peers that are there, beside their connections. */
  private long bytesForPeers() {
    return budget.charged() - budget.charged(MemoryUse.CONNECTION) - budget.charged(MemoryUse.EFFECT_RECORD);
  }

  /** Logs the current memory use. */
  void log(String message) {
    LoggingEventBuilder event = LOG.atWarn().addKeyValue("capacity", budget.capacity()).addKeyValue("highest", budget.peakCharged())
        .addKeyValue("charged_bytes", bytesForPeers());
    for (MemoryUse use : MemoryUse.values()) {
      event = event.addKeyValue(use.name().toLowerCase(Locale.ROOT), budget.charged(use) + " bytes, " + budget.refusals(use) + " refused");
    }
    Runtime heap = Runtime.getRuntime();
    event.addKeyValue("heap_used", heap.totalMemory() - heap.freeMemory()).addKeyValue("heap", heap.totalMemory()).log(message);
  }
}
