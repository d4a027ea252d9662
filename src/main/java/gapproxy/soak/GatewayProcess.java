package gapproxy.soak;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One gateway as a separate process, started with the JVM flags of deploy/balancer.toml except for those that set the class archive,
 * logging and the maximum heap size.
 */
final class GatewayProcess {
  /** The JVM flags of deploy/balancer.toml, without the class archive, logging and the maximum heap size. */
  private static final List<String> FLAGS = List.of("-XX:-UsePerfData", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss256k",
      "-XX:+ExitOnOutOfMemoryError");
  static final int HEAP_MB = 64;
  private static final int INITIAL_HEAP_MB = 32;
  private static final int FIRST_PORT = 12_000, PORT_COUNT = 18_000, PORT_ATTEMPTS = 100;
  private static final long READY_TIMEOUT_MS = 10_000, POLL_INTERVAL_MS = 20, REPORT_DELAY_MS = 300;

  final String name;
  final int port;
  private final Path dir;
  private final int heapMb;
  private List<String> environment = List.of();
  private String classPath = System.getProperty("java.class.path");
  // Held while this object is in use, so that no other copy of the tests draws the same port.
  private final DatagramSocket portReservation;
  private Process process;
  private volatile boolean exitRequested;
  private boolean logUnread;
  private int starts;

  /** Open file descriptors, threads and resident memory of a process. */
  record ResourceUsage(long descriptors, long threads, long residentKb) {}

  GatewayProcess(String name, Path dir) throws IOException {
    this(name, dir, HEAP_MB);
  }

  GatewayProcess(String name, Path dir, int heapMb) throws IOException {
    this.name = name;
    this.heapMb = heapMb;
    this.dir = dir;
    portReservation = reserveFreePort();
    port = portReservation.getLocalPort();
  }

  /**
   * Finds a free port below the range of ephemeral ports. Proxies and clients get theirs from that range, so the system won't assign
   * this port to them between the check and the gateway's start. The port of the same number for datagrams, which a gateway does not use,
   * marks it as taken for other processes that look for one in the same way.
   */
  private static DatagramSocket reserveFreePort() throws IOException {
    for (int i = 0; i < PORT_ATTEMPTS; i++) {
      int some = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
      try (ServerSocket free = new ServerSocket(some, 1, InetAddress.getByName("127.0.0.1"))) {
        return new DatagramSocket(free.getLocalPort(), InetAddress.getByName("127.0.0.1"));
      } catch (BindException e) {
        continue;
      }
    }
    throw new IOException("no port is free");
  }

  /** Makes the next start send the log to a pipe that is never read. */
  void leaveLogUnread() {
    logUnread = true;
  }

  /**
   * Sets the extra environment variables of the next start.
   *
   * @param variables each as NAME=VALUE
   */
  void environment(List<String> variables) {
    environment = variables;
  }

  /** Makes the next start use the classes in a directory in place of those of the same name. */
  void overrideClasses(Path directory) {
    classPath = directory + File.pathSeparator + System.getProperty("java.class.path");
  }

  Path config() {
    return dir.resolve(name + ".json");
  }

  Path log() {
    return dir.resolve(name + ".log");
  }

  void configure(String text) throws IOException {
    Files.writeString(config(), text);
  }

  void start() throws IOException {
    starts++;
    List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(FLAGS);
    command.add("-Xms" + Math.min(INITIAL_HEAP_MB, heapMb) + "m");
    command.add("-Xmx" + heapMb + "m");
    command.addAll(List.of("-cp", classPath, "gapproxy.cli.Main", "node"));
    ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    b.environment().put("LB_CONFIG", config().toString());
    environment.forEach(e -> b.environment().put(e.substring(0, e.indexOf('=')), e.substring(e.indexOf('=') + 1)));
    if (logUnread) {
      b.redirectOutput(ProcessBuilder.Redirect.PIPE);
    }
    process = b.start();
    exitRequested = false;
  }

  /** Waits until the gateway reports that it is ready; returns false if it ends first or is not ready in time. */
  boolean awaitReady() throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
    while (System.nanoTime() < until && process.isAlive()) {
      if (ready()) {
        return true;
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    return false;
  }

  private boolean ready() {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress("127.0.0.1", port), 200);
      s.setSoTimeout(1000);
      s.getOutputStream().write("GET /up HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      return new String(s.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith("200");
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal to the process, named without SIG. */
  void signal(String signal) throws IOException, InterruptedException {
    exitRequested |= signal.equals("TERM");
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  boolean alive() {
    return process.isAlive();
  }

  int starts() {
    return starts;
  }

  /** Waits for the process to end; returns its exit status, or null if it is still running after the given time. */
  Integer awaitExit(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : null;
  }

  /** The exit status if the process ended without a SIGTERM or a kill by this harness; else null. */
  Integer unexpectedExitStatus() {
    return process == null || process.isAlive() || exitRequested ? null : process.exitValue();
  }

  /** The bytes that the last memory report in the log counts for peers; -1 if there is none. */
  private long lastChargedBytes() throws IOException {
    return lastReportedValue("charged_bytes");
  }

  /**
   * Requests memory reports by SIGUSR1 until one counts no bytes for peers, or the time is over, and returns the last count. A
   * single report isn't enough: bytes that still arrive, for example from discovery, may be on their way to the event loop at that
   * moment.
   */
  long chargedAtRest(long withinMs) throws IOException, InterruptedException {
    long charged = -1;
    for (long waited = 0; charged != 0 && waited < withinMs; waited += REPORT_DELAY_MS) {
      signal("USR1");
      Thread.sleep(REPORT_DELAY_MS);
      charged = lastChargedBytes();
    }
    return charged;
  }

  /** The id of the process. */
  long pid() {
    return process.pid();
  }

  /** Bytes by which the memory budget was exceeded at most, as the last memory report says; less than 0 if it never was. */
  long overCapacity() throws IOException {
    return lastReportedValue("highest") - lastReportedValue("capacity");
  }

  private long lastReportedValue(String name) throws IOException {
    String key = " " + name + "=\"";
    try (Stream<String> lines = Files.lines(log())) {
      return lines.filter(l -> l.contains("MemoryReport") && l.contains(key)).mapToLong(l -> {
        int from = l.indexOf(key) + key.length();
        return Long.parseLong(l.substring(from, l.indexOf('"', from)));
      }).reduce(-1, (before, last) -> last);
    }
  }

  /** Kills the process and waits for its end. */
  void kill() {
    exitRequested = true;
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Gives up the port; the process must not be started again. */
  void releasePort() {
    portReservation.close();
  }

  ResourceUsage resourceUsage() throws IOException {
    Path of = Path.of("/proc", Long.toString(process.pid()));
    try (Stream<Path> descriptors = Files.list(of.resolve("fd"))) {
      return new ResourceUsage(descriptors.count(), statusField(of, "Threads:"), statusField(of, "VmRSS:"));
    }
  }

  /** Peak resident memory since the last start; 0 if the process has ended. */
  long peakResidentKb() {
    try {
      return statusField(Path.of("/proc", Long.toString(process.pid())), "VmHWM:");
    } catch (IOException | UncheckedIOException e) {
      return 0;  // the process ended meanwhile
    }
  }

  private static long statusField(Path of, String key) throws IOException {
    return Files.readAllLines(of.resolve("status")).stream().filter(l -> l.startsWith(key))
        .mapToLong(l -> Long.parseLong(l.substring(key.length()).replace("kB", "").strip())).findFirst().orElse(0);
  }
}
