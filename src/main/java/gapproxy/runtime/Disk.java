package gapproxy.runtime;

import java.nio.file.Path;
import java.util.function.Consumer;

/** Reads and replaces small files without blocking the loop. */
public interface Disk {
  /** Reads a file. The callback runs on the loop and receives the content, or null if the file cannot be read. */
  void read(Path file, Loop loop, Consumer<byte[]> callback);

  /**
   * Replaces a file atomically: after a crash, the file holds either the old content or the new. The callback runs on the loop and receives
   * whether the file was replaced.
   */
  void replace(Path file, byte[] bytes, Loop loop, Consumer<Boolean> callback);
}
