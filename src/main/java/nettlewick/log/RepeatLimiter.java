package nettlewick.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds lines that come again and again: so many of one kind in a window of time, the rest are counted.
 * Reads
 * no clock; times are in milliseconds. Not safe for several threads.
 */
final class RepeatLimiter {
    /** Kinds remembered: more are forgotten all at once, which lets a few lines too many through. */
    private static final int MAX_KINDS = 1000;
    /** What {@link #take} answers for a line that is not to be written. */
    static final int HELD_BACK = -1;

    private static final class Window {
        double windowStartMillis;
        int writtenCount;
        int suppressedCount;
    }

    private final Map<String, Window> kinds = new HashMap<>();
    private final int maxLinesPerWindow;
    private final double windowMillis;

    RepeatLimiter(int most, double window) {
        this.maxLinesPerWindow = most;
        this.windowMillis = window;
    }

    /**
     * Whether a line of this kind is written now: how many were held back before it, or {@link #HELD_BACK}.
     */
    int admit(String kind, double now) {
        if (kinds.size() >= MAX_KINDS && !kinds.containsKey(kind)) {
            kinds.clear();
        }
        Window k = kinds.computeIfAbsent(kind, name -> new Window());
        if (k.writtenCount == 0 || now - k.windowStartMillis >= windowMillis || now < k.windowStartMillis) {
            int before = k.suppressedCount;
            k.windowStartMillis = now;
            k.writtenCount = 1;
            k.suppressedCount = 0;
            return before;
        }
        if (k.writtenCount < maxLinesPerWindow) {
            k.writtenCount++;
            return 0;
        }
        k.suppressedCount++;
        return HELD_BACK;
    }
}
