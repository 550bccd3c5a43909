package nettlewick.log;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Limits how many lines of one kind are written within a window of time, and counts the rest. Reads no clock; times are
 * milliseconds. Not safe for several threads.
 */
final class RepeatLimiter {
    /** Beyond this many kinds all are forgotten at once, after which a few lines too many are written. */
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
     * Whether to write a line of this kind: empty where it is suppressed, else how many were suppressed since the last
     * one that was written.
     */
    OptionalInt admit(String kind, double nowMillis) {
        if (windows.size() >= MAX_KINDS && !windows.containsKey(kind)) {
            windows.clear();
        }
        Window window = windows.get(kind);
        if (window == null || hasEnded(window, nowMillis)) {
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

    /** A clock that was set back ends the window too. */
    private boolean hasEnded(Window window, double nowMillis) {
        return nowMillis - window.startMillis >= windowMillis || nowMillis < window.startMillis;
    }
}
