package gapproxy.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Logback configurator for text lines on standard error. Doesn't read {@code logback.xml}: on a fraction of a core, reading that file took
 * as long as the rest of a gateway's start. Applies only after {@link Logs#configurePlain} has set the system property {@link #LEVEL}.
 */
public final class PlainLogs extends ContextAwareBase implements Configurator {
  /** System property that holds the minimum level of the lines to log. */
  static final String LEVEL = "gapproxy.log.plain";
  /** Lines queued while standard error accepts none; further lines are dropped. */
  private static final int QUEUE_SIZE_LINES = 512;
  /** Time allowed to write the queued lines when the process ends. */
  private static final int MAX_FLUSH_TIME_MS = 200;

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    String level = System.getProperty(LEVEL);
    if (level == null) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %-12logger{0} %msg %kvp%n");
    encoder.start();
    ConsoleAppender<ILoggingEvent> consoleAppender = new ConsoleAppender<>();
    consoleAppender.setContext(context);
    consoleAppender.setTarget("System.err");
    consoleAppender.setEncoder(encoder);
    consoleAppender.start();
    // Appends asynchronously: a blocking write to a pipe that nobody reads would block the loop.
    AsyncAppender asyncAppender = new AsyncAppender();
    asyncAppender.setContext(context);
    asyncAppender.setNeverBlock(true);
    asyncAppender.setQueueSize(QUEUE_SIZE_LINES);
    asyncAppender.setDiscardingThreshold(0);
    asyncAppender.setMaxFlushTime(MAX_FLUSH_TIME_MS);
    asyncAppender.addAppender(consoleAppender);
    asyncAppender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.addAppender(asyncAppender);
    root.setLevel(Level.toLevel(level, Level.WARN));
    // Grizzly logs a warning for every peer that violates the protocol.
    context.getLogger("org.glassfish.grizzly.filterchain").setLevel(Level.ERROR);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
