package gapproxy.runtime;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accesses files on a thread of its own, so that the loop does not wait for the disk. */
public final class LiveDisk implements Disk, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LiveDisk.class);
  private final ExecutorService thread = Executors.newSingleThreadExecutor(r -> {
    Thread t = new Thread(r, "disk");
    t.setDaemon(true);
    return t;
  });

  @Override
  public void read(Path file, Loop loop, Consumer<byte[]> callback) {
    thread.execute(() -> {
      byte[] bytes = null;
      try {
        bytes = Files.readAllBytes(file);
      } catch (IOException e) {
        LOG.debug("can't read {}", file, e);
      }
      byte[] found = bytes;
      loop.execute(() -> callback.accept(found));
    });
  }

  @Override
  public void replace(Path file, byte[] bytes, Loop loop, Consumer<Boolean> callback) {
    thread.execute(() -> {
      boolean replaced = false;
      try {
        writeAtomically(file, bytes);
        replaced = true;
      } catch (IOException e) {
        LOG.warn("can't replace {}: {}", file, e.toString());
      }
      boolean done = replaced;
      loop.execute(() -> callback.accept(done));
    });
  }

  /**
   * Writes a temporary file in the same directory, forces it to disk and renames it, so that neither readers nor a crash can see partial
   * content.
   */
  private static void writeAtomically(Path file, byte[] bytes) throws IOException {
    Path dir = file.toAbsolutePath().getParent();
    Files.createDirectories(dir);
    Path temporary = Files.createTempFile(dir, file.getFileName() + ".", ".new");
    try {
      try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
          channel.write(buffer);
        }
        channel.force(true);
      }
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } finally {
      Files.deleteIfExists(temporary);
    }
  }

  @Override
  public void close() {
    thread.shutdown();
  }
}
