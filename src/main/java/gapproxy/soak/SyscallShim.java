package gapproxy.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A preloaded library that makes system calls of gateway processes fail, built from {@code fault_shim.c} by the machine's C
 * compiler.
 */
final class SyscallShim {
  private static final String SOURCE = "fault_shim.c";
  private final Path library;
  private final String spec;
  private final Path dir;

  /**
   * Builds the library.
   *
   * @param spec the faults to inject, in the format that {@code fault_shim.c} describes
   * @throws IOException if there is no C compiler, or it fails
   */
  SyscallShim(String spec, Path dir) throws IOException, InterruptedException {
    this.spec = spec;
    this.dir = dir;
    library = dir.resolve("fault_shim.so");
    Path source = dir.resolve(SOURCE);
    try (InputStream in = SyscallShim.class.getResourceAsStream("/gapproxy/soak/" + SOURCE)) {
      Files.write(source, in.readAllBytes());
    }
    Process cc = new ProcessBuilder("cc", "-O2", "-fPIC", "-shared", "-o", library.toString(), source.toString(), "-ldl", "-lpthread")
        .redirectErrorStream(true).start();
    String said = new String(cc.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
    if (cc.waitFor() != 0) {
      throw new IOException("the C compiler failed on the shim: " + said);
    }
  }

  /** Environment variables for a gateway process, as NAME=VALUE. */
  List<String> environment(String gateway, int port) {
    return List.of("LD_PRELOAD=" + library, "GAPPROXY_SHIM=" + spec, "GAPPROXY_SHIM_PORT=" + port,
        "GAPPROXY_SHIM_COUNT=" + counterFile(gateway));
  }

  private Path counterFile(String gateway) {
    return dir.resolve(gateway + ".count");
  }

  /** Number of faults injected into a gateway. */
  long injectedFaults(String gateway) throws IOException {
    return Files.exists(counterFile(gateway))
        ? ByteBuffer.wrap(Files.readAllBytes(counterFile(gateway))).order(ByteOrder.nativeOrder()).getLong()
        : 0;
  }
}
