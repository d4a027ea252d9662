package gapproxy.memory;

import java.util.EnumMap;
import java.util.Map;

/**
 * The one account of the bytes that a process keeps for its peers, and the decision on who gets more of them.
 *
 * <p>Every owner of bytes (a connection's requests, its unwritten responses, a response that comes in) has a {@link Share}. A share may grow up to
 * an eighth of what is free at that moment (dynamic thresholds, Choudhury and Hahne 1998): one owner alone may hold a ninth of all,
 * many that want all they can get end at equal parts, and some room is always left, which small shares may use when large ones may
 * no longer grow.
 *
 * <p>What was read already can't be refused and is charged all the same, see {@link Charge#force}; its owner then stops to read, so that
 * each goes past its limit by one piece at most. The capacity leaves room for that.
 *
 * <p>May be used from any thread.
 */
public final class MemoryBudget {
  /** A share may grow up to this part of what is free. */
  private static final int PART_OF_FREE = 8;
  /** What is small may still grow up to this part of what is free: a usual request, or some events. */
  private static final int PART_OF_FREE_FOR_SMALL = 2;
  private static final long SMALL_BYTES = 32 << 10;
  /** Heap that the rest of the program needs: classes, decisions, list of servers, log. */
  private static final long OWN_HEAP_BYTES = 14L << 20;
  /** Resident memory beside the heap: code, class data, stacks, buffers of threads. */
  private static final long BESIDE_HEAP_BYTES = 60L << 20;
  /** The collector needs room of its own, as has a list of servers while it is read. */
  private static final double CHARGEABLE_PART_OF_HEAP = 0.5;
  private static final long LEAST_CAPACITY = 4L << 20;

  private final long capacity;
  private final Map<MemoryUse, Long> charged = new EnumMap<>(MemoryUse.class);
  private final Map<MemoryUse, Long> refusals = new EnumMap<>(MemoryUse.class);
  private long total, highest;

  /** @param capacity bytes that may be charged */
  public MemoryBudget(long capacity) {
    this.capacity = capacity;
    for (MemoryUse use : MemoryUse.values()) {
      charged.put(use, 0L);
      refusals.put(use, 0L);
    }
  }

  /**
   * For a process.
   *
   * @param heapBytes most that its heap may take
   * @param residentBytes most that it may take in all
   */
  public static MemoryBudget of(long heapBytes, long residentBytes) {
    long heap = Math.min(heapBytes, residentBytes - BESIDE_HEAP_BYTES);
    return new MemoryBudget(Math.max(LEAST_CAPACITY, (long) ((heap - OWN_HEAP_BYTES) * CHARGEABLE_PART_OF_HEAP)));
  }

  /** Where nothing bounds the process but its heap. */
  public static MemoryBudget ofHeap() {
    return of(Runtime.getRuntime().maxMemory(), Long.MAX_VALUE);
  }

  /** For imitations and tests, which have no peers to guard against. */
  public static MemoryBudget unbounded() {
    return new MemoryBudget(Long.MAX_VALUE / 2);
  }

  /** What is charged for a use. */
  public synchronized long charged(MemoryUse use) {
    return charged.get(use);
  }

  /** What is charged in all. */
  public synchronized long charged() {
    return total;
  }

  /** The most that was ever charged in all. */
  public synchronized long highest() {
    return highest;
  }

  /** How often growth was refused for a use. */
  public synchronized long refusals(MemoryUse use) {
    return refusals.get(use);
  }

  /** Bytes that may be charged. */
  public long capacity() {
    return capacity;
  }

  /**
   * Makes an owner's share.
   *
   * @param least bytes that it may hold whatever the others do; these of all owners together are to fit beside the capacity
   */
  public Share share(MemoryUse use, long least) {
    return new Share(use, least);
  }

  private long limit(long least) {
    long free = Math.max(0, capacity - total);
    return Math.max(least, Math.max(free / PART_OF_FREE, Math.min(SMALL_BYTES, free / PART_OF_FREE_FOR_SMALL)));
  }

  private void add(MemoryUse use, long bytes) {
    total += bytes;
    highest = Math.max(highest, total);
    charged.merge(use, bytes, Long::sum);
  }

  /** What one owner holds. */
  public final class Share {
    private final MemoryUse use;
    private final long least;
    private long held;

    private Share(MemoryUse use, long least) {
      this.use = use;
      this.least = least;
    }

    /** Whether it holds less than it may. */
    public boolean hasRoom() {
      synchronized (MemoryBudget.this) {
        return held < limit(least);
      }
    }

    /** Whether it holds less than half of what it may, so that what was held back may go on. */
    public boolean hasAmpleRoom() {
      synchronized (MemoryBudget.this) {
        return held <= limit(least) / 2;
      }
    }

    /** What it holds now. */
    public long held() {
      synchronized (MemoryBudget.this) {
        return held;
      }
    }

    /** Begins a charge of this share, of nothing so far. */
    public Charge charge() {
      return new Charge(this);
    }
  }

  /** Bytes of a share that are kept for one thing and given back once. */
  public final class Charge {
    private final Share share;
    private long bytes;
    private boolean closed;

    private Charge(Share share) {
      this.share = share;
    }

    /** Charges more, unless its share would pass its limit, or it was closed. */
    public boolean grow(long more) {
      synchronized (MemoryBudget.this) {
        if (closed || share.held + more > limit(share.least)) {
          refusals.merge(share.use, 1L, Long::sum);
          return false;
        }
        change(more);
        return true;
      }
    }

    /** Sets what it holds, up or down. Growth is refused as by {@link #grow}, and the charge is then what it was. */
    public boolean resize(long to) {
      synchronized (MemoryBudget.this) {
        if (closed) {
          return false;
        } else if (to > bytes) {
          return grow(to - bytes);
        }
        change(to - bytes);
        return true;
      }
    }

    /** Charges bytes that are there already. */
    public void force(long more) {
      synchronized (MemoryBudget.this) {
        if (!closed) {
          change(more);
        }
      }
    }

    /** Gives some bytes back. */
    public void giveBack(long some) {
      synchronized (MemoryBudget.this) {
        if (!closed) {
          change(-Math.min(some, bytes));
        }
      }
    }

    /** Gives all of it back; without effect once it has been closed. */
    public void close() {
      synchronized (MemoryBudget.this) {
        if (!closed) {
          change(-bytes);
          closed = true;
        }
      }
    }

    private void change(long by) {
      bytes += by;
      share.held += by;
      add(share.use, by);
    }
  }
}
