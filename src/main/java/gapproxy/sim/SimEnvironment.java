package gapproxy.sim;

import gapproxy.config.Config;
import gapproxy.gateway.Gateway;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/** The simulated environment: virtual time, an in-memory network and an in-memory disk. */
final class SimEnvironment implements Environment {
  private static final int FIRST_PORT = 8_000;
  final Scheduler scheduler;
  final SimNet net;
  private final SimDisk disk = new SimDisk();
  private final SimLoop loop;

  SimEnvironment(Plan plan, SplittableRandom random) {
    scheduler = new Scheduler(plan.shuffle() ? random.split() : null);
    net = new SimNet(scheduler, random.split(), plan.bytes());
    loop = new SimLoop(scheduler);
  }

  @Override
  public Loop loop() {
    return loop;
  }

  @Override
  public Net net(String process) {
    return net.host(process, loop);
  }

  @Override
  public int port(int gateway) {
    return FIRST_PORT + gateway;
  }

  @Override
  public boolean supports(String kind) {
    return true;
  }

  @Override
  public Path stateDir() {
    return Path.of("sim");
  }

  @Override
  public RunningGateway start(Config config, long seed, BiConsumer<String, String> watcher) throws IOException {
    SimLoop gatewayLoop = new SimLoop(scheduler);
    SimNet.Host host = (SimNet.Host) net.host(config.name(), gatewayLoop);
    Gateway gateway = new Gateway(config, gatewayLoop, host, disk, seed);
    gateway.watch(watcher);
    gateway.start();
    return new RunningGateway() {
      @Override
      public InetSocketAddress address() {
        return gateway.address();
      }

      @Override
      public int openReqs() {
        return gateway.openReqCount();
      }

      @Override
      public long internalFaults() {
        return gateway.internalFaults();
      }

      @Override
      public int timers() {
        return Math.max(0, gatewayLoop.timers() - connections());
      }

      @Override
      public int connections() {
        return net.connections(host);
      }

      @Override
      public Set<String> stages() {
        return gateway.openReqStages();
      }

      @Override
      public void pause(Duration span) {
        gatewayLoop.pause(span);
      }

      @Override
      public void adjustWallClock(Duration by) {
        gatewayLoop.adjustWallClock(by);
      }

      @Override
      public void kill() {
        gatewayLoop.kill();
        host.kill();
      }
    };
  }

  @Override
  public void setNetworkFault(Plan.Fault fault, String gateway, InetSocketAddress engine, boolean on) {
    switch (fault.kind()) {
      case "slow network" -> net.latencyFactor = on ? 1 + 10 * fault.amount() : 1;
      case "narrow network" -> net.bytesPerSecond = on ? 300_000 + 2_000_000 * fault.amount() : 0;
      case "connects hang" -> net.setUnresponsive(engine, on);
      case "one-way cut" -> {
        boolean blocksIncoming = fault.amount() >= 0.33 && fault.amount() < 0.67;
        net.cut(blocksIncoming ? "world" : gateway, blocksIncoming ? gateway : fault.amount() < 0.33 ? "world" : "clients", on);
      }
      default -> throw new IllegalStateException(fault.kind());
    }
  }

  @Override
  public void truncateFiles(double part) {
    disk.truncateFiles(part);
  }
}
