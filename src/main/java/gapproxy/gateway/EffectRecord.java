package gapproxy.gateway;

import gapproxy.api.Event.Outcome;
import gapproxy.api.Settings.Repeat;
import gapproxy.memory.MemoryBudget;
import gapproxy.memory.MemoryUse;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Remembers the client-given ids of reqs whose effect may have happened, and refuses further reqs under them. What a req did outlives its
 * client: after a client has left, or has its answer, the same id may come again on another connection, and an effect that must not be
 * repeated would happen twice. Only attempts at writers have effects; a replayable req has none that matter.
 *
 * <p>An id is kept, as a hash, for as long as there is room, the most recent ones first.
 *
 * <p>Confined to the gateway's loop.
 */
final class EffectRecord {
  private static final int MAX_IDS = 1 << 15;
  /** Memory of one id: an entry of a linked hash set and its key. */
  private static final long BYTES_PER_ID = 96;

  private final MemoryBudget.Charge charge;
  private final Set<Long> ids = new LinkedHashSet<>();

  EffectRecord(MemoryBudget budget) {
    charge = budget.newShare(MemoryUse.EFFECT_RECORD, 0).newCharge();
  }

  /** Whether a req under this id may have had its effect. */
  boolean mayHaveHappened(String clientRequestId) {
    return ids.contains(hash(clientRequestId));
  }

  /** Records that an attempt is about to be sent. */
  void attemptPermitted(Req.Attempt attempt, Repeat repeat) {
    String id = attempt.req.clientRequestId;
    if (id == null || attempt.isRead() || repeat == Repeat.REPLAYABLE || !ids.add(hash(id))) {
      return;
    }
    if (ids.size() > MAX_IDS) {
      Iterator<Long> oldestFirst = ids.iterator();
      oldestFirst.next();
      oldestFirst.remove();
    } else {
      charge.forceGrow(BYTES_PER_ID);
    }
  }

  /** Removes the id of a finished req if the outcomes of all its attempts prove that it had no effect. */
  void finished(Req req) {
    boolean mayHaveRun = req.attempts.stream().anyMatch(attempt -> !attempt.isRead() && mayHaveRun(attempt.outcome));
    if (req.clientRequestId != null && !mayHaveRun && ids.remove(hash(req.clientRequestId))) {
      charge.shrink(BYTES_PER_ID);
    }
  }

  private static boolean mayHaveRun(Outcome outcome) {
    return outcome == null || !outcome.neverRan();
  }

  private static long hash(String id) {
    return MurmurHash3.hash128x64(id.getBytes(java.nio.charset.StandardCharsets.UTF_8))[0];
  }
}
