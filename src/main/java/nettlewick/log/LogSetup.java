package nettlewick.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.util.Optional;
import nettlewick.settings.Block;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback without configuration files, and applies the settings block {@code log}. Logback finds this class
 * through its service file and then skips its search for XML files, which would delay each start by several 100 ms.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    private static final int DEFAULT_MAX_REPEATS = 10;
    private static final double DEFAULT_WINDOW_MILLIS = 10_000;
    private static final String DEFAULT_LEVEL = "info";

    private static volatile StderrAppender appender;

    /** Called once by Logback, before the first line is logged. */
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        StderrAppender created = new StderrAppender(LineFormat.TEXT, defaultLimiter());
        created.setContext(context);
        created.start();
        appender = created;
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(created);
        root.setLevel(Level.INFO);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static RepeatLimiter defaultLimiter() {
        return new RepeatLimiter(DEFAULT_MAX_REPEATS, DEFAULT_WINDOW_MILLIS);
    }

    /**
     * Applies the settings block {@code log}, at startup or on reload. Without the block, lines are text at level info
     * and above. Thread-safe.
     */
    public static void apply(Optional<Block> settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        resetLevels(context, settings.map(log -> log.text("level")).orElse(DEFAULT_LEVEL));
        if (settings.isEmpty()) {
            appender.configure(LineFormat.TEXT, defaultLimiter());
            return;
        }
        Block log = settings.get();
        for (Block.Value component : log.all("part")) {
            context.getLogger(component.<String>argument(0)).setLevel(parseLevel(component.argument(1)));
        }
        appender.configure(
                log.text("form").equals("json") ? LineFormat.JSON : LineFormat.TEXT,
                new RepeatLimiter((int) log.wholeNumber("repeats"), log.durationMillis("window")));
    }

    /** Sets the root level and removes the levels of all components. */
    private static void resetLevels(LoggerContext context, String rootLevel) {
        for (Logger logger : context.getLoggerList()) {
            boolean isRoot = logger.getName().equals(Logger.ROOT_LOGGER_NAME);
            logger.setLevel(isRoot ? parseLevel(rootLevel) : null);
        }
    }

    private static Level parseLevel(String name) {
        return switch (name) {
            case "error" -> Level.ERROR;
            case "warning" -> Level.WARN;
            case "debug" -> Level.DEBUG;
            case "off" -> Level.OFF;
            default -> Level.INFO;
        };
    }
}
