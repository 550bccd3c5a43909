package nettlewick.log;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Limits how many lines of one kind are written within a time window, and counts the suppressed ones. Reads no clock;
 * times are in milliseconds. Not thread-safe.
 */
final class RepeatLimiter {
    /** Bounds memory; at this many kinds all windows are discarded, after which some lines exceed the limit. */
    private static final int MAX_KINDS = 1000;

    private static final class Window {
        private final double startMillis;
        private int writtenCount = 1;
        private int suppressedCount;

        Window(double startMillis) {
            this.startMillis = startMillis;
        }
    }

    private final Map<String, Window> windows = new HashMap<>();
    private final int maxLinesPerWindow;
    private final double windowMillis;

    RepeatLimiter(int maxLinesPerWindow, double windowMillis) {
        this.maxLinesPerWindow = maxLinesPerWindow;
        this.windowMillis = windowMillis;
    }

    /**
     * Decides whether to write a line of this kind: empty if it is suppressed, otherwise the number of lines suppressed
     * since the last one that was written.
     */
    OptionalInt tryAdmit(String kind, double nowMillis) {
        if (windows.size() >= MAX_KINDS && !windows.containsKey(kind)) {
            windows.clear();
        }
        Window window = windows.get(kind);
        if (window == null || hasExpired(window, nowMillis)) {
            windows.put(kind, new Window(nowMillis));
            return OptionalInt.of(window == null ? 0 : window.suppressedCount);
        }
        if (window.writtenCount < maxLinesPerWindow) {
            window.writtenCount++;
            return OptionalInt.of(0);
        }
        window.suppressedCount++;
        return OptionalInt.empty();
    }

    /** The window also ends if the clock was set back. */
    private boolean hasExpired(Window window, double nowMillis) {
        return nowMillis - window.startMillis >= windowMillis || nowMillis < window.startMillis;
    }
}
