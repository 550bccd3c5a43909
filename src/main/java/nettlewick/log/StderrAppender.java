package nettlewick.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import org.slf4j.event.KeyValuePair;

/**
 * Writes log events to the current {@link System#err} and limits repeats of the same event of a component. Thread-safe:
 * Logback holds this object's lock while it calls {@link #append}.
 */
final class StderrAppender extends AppenderBase<ILoggingEvent> {
    private LineFormat format;
    private RepeatLimiter repeatLimiter;

    StderrAppender(LineFormat format, RepeatLimiter repeatLimiter) {
        this.format = format;
        this.repeatLimiter = repeatLimiter;
    }

    /** Replaces the format and the limiter, which resets the counts of suppressed lines. */
    synchronized void configure(LineFormat newFormat, RepeatLimiter newRepeatLimiter) {
        format = newFormat;
        repeatLimiter = newRepeatLimiter;
    }

    @Override
    protected void append(ILoggingEvent event) {
        String kind = event.getLoggerName() + ' ' + repeatKind(event);
        OptionalInt suppressedCount = repeatLimiter.tryAdmit(kind, event.getTimeStamp());
        if (suppressedCount.isPresent()) {
            byte[] line = format.format(event, suppressedCount.getAsInt()).getBytes(StandardCharsets.UTF_8);
            System.err.write(line, 0, line.length);
            System.err.flush();
        }
    }

    /** The event name; for lines of libraries, which have none, the message pattern. */
    private static String repeatKind(ILoggingEvent event) {
        List<KeyValuePair> fields = event.getKeyValuePairs();
        return fields != null && !fields.isEmpty() && fields.get(0).key.equals(ComponentLogger.EVENT)
                ? String.valueOf(fields.get(0).value)
                : event.getMessage();
    }
}
