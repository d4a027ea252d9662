package gapproxy.daemon;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import gapproxy.config.Config;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/** Configures logging to standard error, as text or as JSON lines. */
public final class Logs {
  private Logs() {}

  /** Configures logging from {@code logback.xml} with the given form and level; replaces any earlier configuration. */
  public static void configure(Config.Log log) {
    setLogProperties(log);
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    JoranConfigurator configurator = new JoranConfigurator();
    configurator.setContext(context);
    context.reset();
    try {
      configurator.doConfigure(Logs.class.getResource("/logback.xml"));
    } catch (JoranException e) {
      throw new IllegalStateException("failed to configure logging", e);
    }
    installJulBridge();
  }

  /**
   * Logs text lines of at least this level, with the shortest set-up time (see {@link PlainLogs}). Must be called before anything
   * else in the process uses logging.
   */
  public static void configurePlain(String level) {
    System.setProperty(PlainLogs.LEVEL, level);
    LoggerFactory.getILoggerFactory();
    installJulBridge();
  }

  /**
   * Stops logging, after writing the queued lines within the appender's flush timeout. Lines that standard error does not accept
   * by then are lost.
   */
  public static void flushAndStop() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  private static void setLogProperties(Config.Log log) {
    System.setProperty("gapproxy.log.form", log.form());
    System.setProperty("gapproxy.log.level", log.level());
  }

  /** Routes {@code java.util.logging}, which Grizzly uses, to SLF4J. */
  private static void installJulBridge() {
    SLF4JBridgeHandler.removeHandlersForRootLogger();
    SLF4JBridgeHandler.install();
  }
}
