package nettlewick.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The log of one component of the program. A line has the name of an event, a sentence for people, and fields as pairs
 * of a name and a value ({@code "request", id, "endpoint", host}). Any thread.
 */
public final class ComponentLogger {
    /** The field that holds the event's name. */
    static final String EVENT = "event";

    private final Logger logger;

    private ComponentLogger(String name) {
        logger = LoggerFactory.getLogger(name);
    }

    /** The logger of a component; its name starts the lines and stands in the settings' keyword {@code part}. */
    public static ComponentLogger of(String name) {
        return new ComponentLogger(name);
    }

    /** For whoever looks into a problem; not written unless the settings ask for it. */
    public void debug(String event, String message, Object... fields) {
        write(Level.DEBUG, event, message, null, fields);
    }

    /** For operators; nothing has to be done. */
    public void info(String event, String message, Object... fields) {
        write(Level.INFO, event, message, null, fields);
    }

    /** For operators, who may have to do something. */
    public void warning(String event, String message, Object... fields) {
        write(Level.WARN, event, message, null, fields);
    }

    /** A fault in the program, with its cause. */
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
