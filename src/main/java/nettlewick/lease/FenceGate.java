package nettlewick.lease;

import java.util.HashMap;
import java.util.Map;

/** What whoever receives acts asks first: an act whose fence is below the highest seen is refused. */
public final class FenceGate {
    private final Map<String, Long> highest = new HashMap<>();
    private long refused;

    /** Whether an act under this fence may be carried out; a higher one shuts out all below it. */
    public boolean admits(String duty, long fence) {
        boolean good = fence >= highest.getOrDefault(duty, 0L);
        if (good) {
            highest.put(duty, fence);
        } else {
            refused++;
        }
        return good;
    }

    public long refused() {
        return refused;
    }
}
