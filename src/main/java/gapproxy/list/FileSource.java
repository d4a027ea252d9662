package gapproxy.list;

import gapproxy.runtime.Disk;
import gapproxy.runtime.Loop;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;

/** A list in a file, looked at from time to time; a half-written or wrong file changes nothing. */
public final class FileSource implements ListSource {
  private final Path file;
  private final Duration every;
  private final Disk disk;
  private final Loop loop;
  private final Listener listener;
  private byte[] last;
  private boolean closed;
  private boolean started;

  public FileSource(Path file, Duration every, Disk disk, Loop loop, Listener listener) {
    this.file = file;
    this.every = every;
    this.disk = disk;
    this.loop = loop;
    this.listener = listener;
  }

  @Override
  public void subscribe() {
    if (!started) {
      started = true;
      look();
    }
  }

  private void look() {
    disk.read(file, loop, bytes -> {
      if (closed) {
        return;
      }
      if (bytes == null ? last != null || !started : !Arrays.equals(bytes, last)) {
        take(bytes);
      }
      loop.after(every, this::look);
    });
  }

  private void take(byte[] bytes) {
    last = bytes;
    if (bytes == null) {
      listener.failed(file + " can't be read");
      return;
    }
    try {
      listener.list(ServerList.parse(bytes));
    } catch (ServerList.Bad e) {
      listener.failed(file + ": " + e.getMessage());
    }
  }

  @Override
  public void close() {
    closed = true;
  }
}
