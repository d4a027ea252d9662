package gapproxy.list;

import gapproxy.runtime.Disk;
import gapproxy.runtime.Loop;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;

/**
 * Reads the server list from a file that it polls for changes. An invalid or half-written file is reported, and the last valid list stays
 * in use.
 */
public final class FileListSource implements ListSource {
  private final Path file;
  private final Duration pollInterval;
  private final Disk disk;
  private final Loop loop;
  private final Listener listener;
  private byte[] lastContent;
  private boolean closed;
  private boolean started;

  public FileListSource(Path file, Duration pollInterval, Disk disk, Loop loop, Listener listener) {
    this.file = file;
    this.pollInterval = pollInterval;
    this.disk = disk;
    this.loop = loop;
    this.listener = listener;
  }

  @Override
  public void subscribe() {
    if (!started) {
      started = true;
      readFile();
    }
  }

  private void readFile() {
    disk.read(file, loop, bytes -> {
      if (closed) {
        return;
      }
      if (bytes == null ? lastContent != null || !started : !Arrays.equals(bytes, lastContent)) {
        applyContent(bytes);
      }
      loop.after(pollInterval, this::readFile);
    });
  }

  private void applyContent(byte[] bytes) {
    lastContent = bytes;
    if (bytes == null) {
      listener.onFailure(file + " can't be read");
      return;
    }
    try {
      listener.onList(ServerList.parse(bytes));
    } catch (ServerList.InvalidListException e) {
      listener.onFailure(file + ": " + e.getMessage());
    }
  }

  @Override
  public void close() {
    closed = true;
  }
}
