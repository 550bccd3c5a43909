package nettlewick.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The logger of one component. A line has an event name, a human-readable message, and fields as pairs of name and
 * value ({@code "request", id, "endpoint", host}). Thread-safe.
 */
public final class ComponentLogger {
    /** The field that contains the event name. */
    static final String EVENT = "event";

    private final Logger logger;

    private ComponentLogger(String name) {
        logger = LoggerFactory.getLogger(name);
    }

    /** The logger of a component; its name is part of each line and is used by the settings keyword {@code part}. */
    public static ComponentLogger of(String name) {
        return new ComponentLogger(name);
    }

    /** Logs details for troubleshooting; not written by default. */
    public void debug(String event, String message, Object... fields) {
        write(Level.DEBUG, event, message, null, fields);
    }

    /** Logs an event that needs no action by operators. */
    public void info(String event, String message, Object... fields) {
        write(Level.INFO, event, message, null, fields);
    }

    /** Logs an event that may need action by operators. */
    public void warning(String event, String message, Object... fields) {
        write(Level.WARN, event, message, null, fields);
    }

    /** Logs a program error with its cause. */
    public void error(String event, String message, Throwable cause, Object... fields) {
        write(Level.ERROR, event, message, cause, fields);
    }

    private void write(Level level, String event, String message, Throwable cause, Object[] fields) {
        if (!logger.isEnabledForLevel(level)) {
            return;
        }
        LoggingEventBuilder line = logger.atLevel(level).addKeyValue(EVENT, event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line = line.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
        }
        (cause == null ? line : line.setCause(cause)).log(message);
    }
}
