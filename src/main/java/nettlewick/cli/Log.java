package nettlewick.cli;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Log lines on standard error: time, level, part and message; a fault's cause and place on the same line. */
public final class Log extends Formatter {
    /**
     * Keeps the log open to the last line. Danger: the JDK's own manager takes all handlers away as soon as
     * the JVM begins to end, and a planned end would go on without a word.
     */
    public static final class Manager extends LogManager {
        @Override
        public void reset() {
            // The handlers stay.
        }
    }

    /** Has the JVM use the manager above; before the first logger is asked for. */
    static void choose() {
        System.setProperty("java.util.logging.manager", Manager.class.getName());
    }

    /** Sends all log lines through this form. */
    static void install() {
        Logger root = Logger.getLogger("");
        for (var handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler();
        console.setFormatter(new Log());
        console.setLevel(Level.ALL);
        root.addHandler(console);
        root.setLevel(Level.INFO);
    }

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder().append(Instant.ofEpochMilli(record.getMillis())).append(' ')
                .append(record.getLevel()).append(' ').append(record.getLoggerName()).append(": ")
                .append(record.getMessage());
        Throwable cause = record.getThrown();
        if (cause != null) {
            line.append(": ").append(cause);
            for (int i = 0; i < Math.min(6, cause.getStackTrace().length); i++) {
                line.append(i == 0 ? " at " : " < ").append(cause.getStackTrace()[i]);
            }
        }
        return line.toString().replaceAll("[\\r\\n]+", " ") + "\n";
    }
}
