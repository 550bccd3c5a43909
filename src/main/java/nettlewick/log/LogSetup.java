package nettlewick.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import nettlewick.settings.Block;
import org.slf4j.LoggerFactory;
import org.slf4j.event.KeyValuePair;

/**
 * Sets the back end up without its own files. Logback finds this class by its service file, so that its
 * search
 * for XML, which costs each start some tenths of a second, is left out.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    private static final int DEFAULT_MAX_REPEATS = 10;
    private static final double DEFAULT_WINDOW_MILLIS = 10_000;

    /** Writes to standard error, as it is at each line. */
    private static final class StderrAppender extends AppenderBase<ILoggingEvent> {
        private volatile LineFormat form = LineFormat.TEXT;
        private RepeatLimiter repeats = new RepeatLimiter(DEFAULT_MAX_REPEATS, DEFAULT_WINDOW_MILLIS);

        @Override
        protected void append(ILoggingEvent event) {
            int suppressedCount =
                    repeats.admit(event.getLoggerName() + ' ' + describeKind(event), event.getTimeStamp());
            if (suppressedCount != RepeatLimiter.HELD_BACK) {
                byte[] line = form.format(event, suppressedCount).getBytes(StandardCharsets.UTF_8);
                System.err.write(line, 0, line.length);
                System.err.flush();
            }
        }

        /** Lines of libraries have no event: their text before it is filled in tells them apart. */
        private static String describeKind(ILoggingEvent event) {
            List<KeyValuePair> fields = event.getKeyValuePairs();
            return fields != null && !fields.isEmpty() && fields.get(0).key.equals(ComponentLogger.EVENT)
                    ? String.valueOf(fields.get(0).value)
                    : event.getMessage();
        }

        synchronized void configure(LineFormat to, RepeatLimiter bounds) {
            form = to;
            repeats = bounds;
        }
    }

    private static volatile StderrAppender out;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        StderrAppender made = new StderrAppender();
        made.setContext(context);
        made.start();
        out = made;
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(made);
        root.setLevel(Level.INFO);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Takes the settings' block {@code log} over, at the start or while running; none: text from info on. */
    public static void apply(Optional<Block> settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        Block log = settings.orElse(null);
        context.getLoggerList()
                .forEach(l -> l.setLevel(
                        l.getName().equals(Logger.ROOT_LOGGER_NAME)
                                ? level(log == null ? "info" : log.text("level"))
                                : null));
        if (log == null) {
            out.configure(LineFormat.TEXT, new RepeatLimiter(DEFAULT_MAX_REPEATS, DEFAULT_WINDOW_MILLIS));
            return;
        }
        for (Block.Value part : log.all("part")) {
            context.getLogger(part.<String>part(0)).setLevel(level(part.part(1)));
        }
        out.configure(
                log.text("form").equals("json") ? LineFormat.JSON : LineFormat.TEXT,
                new RepeatLimiter((int) log.whole("repeats"), log.span("window")));
    }

    private static Level level(String name) {
        return switch (name) {
            case "error" -> Level.ERROR;
            case "warning" -> Level.WARN;
            case "debug" -> Level.DEBUG;
            case "off" -> Level.OFF;
            default -> Level.INFO;
        };
    }
}
