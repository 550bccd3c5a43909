package nettlewick.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/** Formats a log event as a single line, which includes the cause and its first stack frames. Stateless. */
enum LineFormat {
    /** Time, level, component and message. */
    TEXT {
        @Override
        String format(ILoggingEvent event, int suppressedCount) {
            StringBuilder line = new StringBuilder()
                    .append(Instant.ofEpochMilli(event.getTimeStamp()))
                    .append(' ')
                    .append(levelName(event))
                    .append(' ')
                    .append(event.getLoggerName())
                    .append(": ")
                    .append(event.getFormattedMessage());
            String cause = formatCause(event.getThrowableProxy());
            if (cause != null) {
                line.append(": ").append(cause);
            }
            if (suppressedCount > 0) {
                line.append(" (").append(suppressedCount).append(" similar lines were suppressed)");
            }
            return toSingleLine(line);
        }
    },
    /** A JSON object: time, level, component, event and fields, message. */
    JSON {
        @Override
        String format(ILoggingEvent event, int suppressedCount) {
            StringWriter text = new StringWriter();
            try (JsonWriter out = new JsonWriter(text)) {
                out.beginObject()
                        .name("time")
                        .value(Instant.ofEpochMilli(event.getTimeStamp()).toString())
                        .name("level")
                        .value(levelName(event))
                        .name("part")
                        .value(event.getLoggerName());
                writeFields(event.getKeyValuePairs(), out);
                out.name("message").value(event.getFormattedMessage());
                String cause = formatCause(event.getThrowableProxy());
                if (cause != null) {
                    out.name("cause").value(cause);
                }
                if (suppressedCount > 0) {
                    out.name("held_back").value(suppressedCount);
                }
                out.endObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return text + "\n";
        }
    };

    private static final int MAX_STACK_FRAMES = 6;

    /** Formats the line, including its line feed and the number of similar lines suppressed before it. */
    abstract String format(ILoggingEvent event, int suppressedCount);

    private static void writeFields(List<KeyValuePair> fields, JsonWriter out) throws IOException {
        if (fields == null) {
            return;
        }
        for (KeyValuePair field : fields) {
            out.name(field.key);
            if (field.value instanceof Number number && Double.isFinite(number.doubleValue())) {
                out.value(number);
            } else {
                out.value(String.valueOf(field.value));
            }
        }
    }

    private static String levelName(ILoggingEvent event) {
        if (event.getLevel().equals(Level.ERROR)) {
            return "SEVERE";
        }
        return event.getLevel().equals(Level.WARN)
                ? "WARNING"
                : event.getLevel().toString();
    }

    private static String formatCause(IThrowableProxy throwable) {
        if (throwable == null) {
            return null;
        }
        StringBuilder text = new StringBuilder(throwable.getClassName());
        if (throwable.getMessage() != null) {
            text.append(": ").append(throwable.getMessage());
        }
        StackTraceElementProxy[] frames = throwable.getStackTraceElementProxyArray();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
            text.append(i == 0 ? " at " : " < ").append(frames[i].getStackTraceElement());
        }
        return text.toString();
    }

    private static String toSingleLine(CharSequence line) {
        StringBuilder text = new StringBuilder(line.length() + 1);
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            text.append(c == '\n' || c == '\r' ? ' ' : c);
        }
        return text.append('\n').toString();
    }
}
