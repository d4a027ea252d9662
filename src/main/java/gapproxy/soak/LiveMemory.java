package gapproxy.soak;

import java.io.IOException;
import java.util.Optional;

/**
 * Memory of a gateway process at one moment.
 *
 * @param byteArrayBytes bytes of the byte arrays that are reachable
 * @param chargedBytes bytes that the process counts for its peers
 */
public record LiveMemory(long byteArrayBytes, long chargedBytes) {
  /** Takes a sample of a process. */
  public interface Probe {
    /** The memory of the process with the given id; empty if it has ended. */
    Optional<LiveMemory> sample(long pid) throws IOException, InterruptedException;
  }

  /** Live bytes beyond the charged ones; less than 0 if more are charged than live. */
  public long uncharged() {
    return byteArrayBytes - chargedBytes;
  }
}
