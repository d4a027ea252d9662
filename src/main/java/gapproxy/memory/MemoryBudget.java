package gapproxy.memory;

import java.util.EnumMap;
import java.util.Map;

/**
 * Accounts for the memory that a process holds on behalf of its peers (clients and model servers), and decides which of them may use more.
 *
 * <p>Each consumer of memory (the requests of a connection, its unwritten responses, a response being received) has a {@link Share}. A
 * share may grow up to an eighth of the capacity that is free at that moment (dynamic thresholds, Choudhury and Hahne 1998). A single
 * share can therefore take at most a ninth of the capacity, competing shares converge to equal sizes, and some capacity always stays free.
 * Small shares may use that remainder when large ones may no longer grow.
 *
 * <p>Bytes that have already been read cannot be refused and are charged unconditionally, see {@link Charge#forceGrow}. Their owner then
 * stops reading, so each share exceeds its limit by at most one read; the capacity leaves room for that.
 *
 * <p>Thread-safe.
 */
public final class MemoryBudget {
  /** A share may grow up to the free capacity divided by this. */
  private static final int FREE_DIVISOR = 8;
  /** This fraction of the capacity is no room for responses: hundreds of clients that read slowly must leave some for requests. */
  private static final int REQUEST_RESERVE_DIVISOR = 4;
  /** A small share may grow up to the free capacity divided by this, which is enough for a typical request or a few events. */
  private static final int SMALL_SHARE_FREE_DIVISOR = 2;
  /** A share of up to this size counts as small. */
  private static final long SMALL_SHARE_BYTES = 32 << 10;
  /**
   * Size of the operating system's buffers of each connection, in each direction. They count as memory of the process, and with the
   * system's default they grow to megabytes for a peer that reads slowly.
   */
  public static final int SOCKET_BUFFER_BYTES = 32 << 10;
  /** Heap that is needed for everything else: classes, routing decisions, the server list, logging. */
  private static final long RESERVED_HEAP_BYTES = 14L << 20;
  /** Resident memory outside the heap: code, class metadata, thread stacks, per-thread buffers. */
  private static final long NON_HEAP_BYTES = 66L << 20;
  /**
   * Fraction of the heap beyond {@link #RESERVED_HEAP_BYTES} that may be charged. The rest is headroom for the garbage collector and for
   * parsing a server list.
   */
  private static final double CHARGEABLE_HEAP_FRACTION = 0.5;
  /** Capacity of a process whose limits leave less than this. */
  private static final long MIN_CAPACITY_BYTES = 4L << 20;

  private final long capacity;
  private final Map<MemoryUse, Long> charged = new EnumMap<>(MemoryUse.class);
  private final Map<MemoryUse, Long> refusals = new EnumMap<>(MemoryUse.class);
  private long totalCharged, peakCharged;

  /**
   * Makes a budget of a given size.
   *
   * @param capacity bytes that may be charged
   */
  public MemoryBudget(long capacity) {
    this.capacity = capacity;
    for (MemoryUse use : MemoryUse.values()) {
      charged.put(use, 0L);
      refusals.put(use, 0L);
    }
  }

  /**
   * Makes the budget of a process from its memory limits.
   *
   * @param heapBytes maximum size of the heap
   * @param residentBytes maximum resident memory of the process as a whole
   */
  public static MemoryBudget forProcess(long heapBytes, long residentBytes) {
    long heap = Math.min(heapBytes, residentBytes - NON_HEAP_BYTES);
    return new MemoryBudget(Math.max(MIN_CAPACITY_BYTES, (long) ((heap - RESERVED_HEAP_BYTES) * CHARGEABLE_HEAP_FRACTION)));
  }

  /** Makes the budget of a process that is limited by its maximum heap size only. */
  public static MemoryBudget forHeap() {
    return forProcess(Runtime.getRuntime().maxMemory(), Long.MAX_VALUE);
  }

  /** Makes a budget without a limit, for simulated peers and tests. */
  public static MemoryBudget unbounded() {
    return new MemoryBudget(Long.MAX_VALUE / 2);
  }

  /** The bytes that are charged for one use of memory. */
  public synchronized long charged(MemoryUse use) {
    return charged.get(use);
  }

  /** The bytes that are charged for all uses. */
  public synchronized long charged() {
    return totalCharged;
  }

  /** The maximum that was ever charged for all uses together. */
  public synchronized long peakCharged() {
    return peakCharged;
  }

  /** How many times a charge for one use of memory was refused growth. */
  public synchronized long refusals(MemoryUse use) {
    return refusals.get(use);
  }

  /** The bytes that may be charged in total. */
  public long capacity() {
    return capacity;
  }

  /**
   * Creates a share.
   *
   * @param guaranteedBytes bytes that the share may hold whatever other shares hold; the sum over all shares must fit in memory in
   *     addition to the capacity
   */
  public Share newShare(MemoryUse use, long guaranteedBytes) {
    return new Share(use, guaranteedBytes);
  }

  private long limit(MemoryUse use, long guaranteedBytes) {
    boolean response = use == MemoryUse.RESPONSE_IN || use == MemoryUse.RESPONSE_OUT;
    long usable = response ? capacity - capacity / REQUEST_RESERVE_DIVISOR : capacity;
    long free = Math.max(0, usable - totalCharged);
    return Math.max(guaranteedBytes, Math.max(free / FREE_DIVISOR, Math.min(SMALL_SHARE_BYTES, free / SMALL_SHARE_FREE_DIVISOR)));
  }

  private void add(MemoryUse use, long bytes) {
    totalCharged += bytes;
    peakCharged = Math.max(peakCharged, totalCharged);
    charged.merge(use, bytes, Long::sum);
  }

  /** The memory that one consumer holds, as one or more charges. */
  public final class Share {
    private final MemoryUse use;
    private final long guaranteedBytes;
    private long usedBytes;

    private Share(MemoryUse use, long guaranteedBytes) {
      this.use = use;
      this.guaranteedBytes = guaranteedBytes;
    }

    /** Whether the share is below its current limit. */
    public boolean hasRoom() {
      synchronized (MemoryBudget.this) {
        return usedBytes < limit(use, guaranteedBytes);
      }
    }

    /** Whether the share holds at most half of its current limit, so that a paused source may resume. */
    public boolean isBelowHalfLimit() {
      synchronized (MemoryBudget.this) {
        return usedBytes <= limit(use, guaranteedBytes) / 2;
      }
    }

    /** The bytes that the share holds now. */
    public long usedBytes() {
      synchronized (MemoryBudget.this) {
        return usedBytes;
      }
    }

    /** Creates an empty charge against this share. */
    public Charge newCharge() {
      return new Charge(this);
    }
  }

  /** Bytes of a share that belong to one object, such as a request. They are released once, by {@link #close}. */
  public final class Charge {
    private final Share share;
    private long bytes;
    private boolean closed;

    private Charge(Share share) {
      this.share = share;
    }

    /** Adds bytes. Returns false and adds nothing if the share would exceed its limit or if this charge is closed. */
    public boolean tryGrow(long more) {
      synchronized (MemoryBudget.this) {
        if (closed || share.usedBytes + more > limit(share.use, share.guaranteedBytes)) {
          refusals.merge(share.use, 1L, Long::sum);
          return false;
        }
        adjust(more);
        return true;
      }
    }

    /** Sets the size of this charge. Returns false and leaves the size unchanged if {@link #tryGrow} refuses the growth. */
    public boolean tryResize(long newSize) {
      synchronized (MemoryBudget.this) {
        if (closed) {
          return false;
        } else if (newSize > bytes) {
          return tryGrow(newSize - bytes);
        }
        adjust(newSize - bytes);
        return true;
      }
    }

    /** Adds bytes that are in memory already, regardless of the limit. */
    public void forceGrow(long more) {
      synchronized (MemoryBudget.this) {
        if (!closed) {
          adjust(more);
        }
      }
    }

    /** Releases part of this charge. */
    public void shrink(long fewer) {
      synchronized (MemoryBudget.this) {
        if (!closed) {
          adjust(-Math.min(fewer, bytes));
        }
      }
    }

    /** Releases the whole charge. Has no effect if it is closed already. */
    public void close() {
      synchronized (MemoryBudget.this) {
        if (!closed) {
          adjust(-bytes);
          closed = true;
        }
      }
    }

    private void adjust(long delta) {
      bytes += delta;
      share.usedBytes += delta;
      add(share.use, delta);
    }
  }
}
