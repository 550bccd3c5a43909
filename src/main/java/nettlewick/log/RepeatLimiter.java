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
    private static final int KINDS_MOST = 1000;
    /** What {@link #take} answers for a line that is not to be written. */
    static final int HELD_BACK = -1;

    private static final class Kind {
        double since;
        int written;
        int heldBack;
    }

    private final Map<String, Kind> kinds = new HashMap<>();
    private final int most;
    private final double window;

    RepeatLimiter(int most, double window) {
        this.most = most;
        this.window = window;
    }

    /**
     * Whether a line of this kind is written now: how many were held back before it, or {@link #HELD_BACK}.
     */
    int take(String kind, double now) {
        if (kinds.size() >= KINDS_MOST && !kinds.containsKey(kind)) {
            kinds.clear();
        }
        Kind k = kinds.computeIfAbsent(kind, name -> new Kind());
        if (k.written == 0 || now - k.since >= window || now < k.since) {
            int before = k.heldBack;
            k.since = now;
            k.written = 1;
            k.heldBack = 0;
            return before;
        }
        if (k.written < most) {
            k.written++;
            return 0;
        }
        k.heldBack++;
        return HELD_BACK;
    }
}
