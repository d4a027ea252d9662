package gapproxy.runtime;

import java.nio.file.Path;
import java.util.function.Consumer;

/** Small files, read and replaced away from the loop. */
public interface Disk {
  /** Reads a file; null where it can't be read. The answer comes on the loop. */
  void read(Path file, Loop loop, Consumer<byte[]> then);

  /**
   * Replaces a file whole: after a crash it holds either the old bytes or the new ones. The answer, whether it went well,
   * comes on the loop.
   */
  void replace(Path file, byte[] bytes, Loop loop, Consumer<Boolean> then);
}
