package gapproxy.sim;

import gapproxy.runtime.Disk;
import gapproxy.runtime.Loop;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** An in-memory disk that outlives the processes. Like {@link gapproxy.runtime.LiveDisk}, it replaces a file atomically. */
final class SimDisk implements Disk {
  private static final Duration LATENCY = Duration.ofMillis(2);
  private final Map<Path, byte[]> files = new HashMap<>();

  /** Truncates each file to a share of its bytes, as after a crash that lost the last writes. */
  void truncateFiles(double part) {
    files.replaceAll((path, bytes) -> java.util.Arrays.copyOf(bytes, (int) (bytes.length * part)));
  }

  @Override
  public void read(Path file, Loop loop, Consumer<byte[]> then) {
    loop.after(LATENCY, () -> then.accept(files.get(file)));
  }

  @Override
  public void replace(Path file, byte[] bytes, Loop loop, Consumer<Boolean> then) {
    // A process that is killed earlier leaves the old content.
    loop.after(LATENCY, () -> {
      files.put(file, bytes);
      then.accept(true);
    });
  }
}
