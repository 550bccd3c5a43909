package nettlewick.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Protects a resource from former holders of a lease: an act under a lower fence than the highest seen for that lease
 * is rejected. Not safe for several threads.
 */
public final class FenceGate {
    private final Map<String, Long> highestFences = new HashMap<>();
    private long rejectedCount;

    /** Whether an act under this fence may be carried out; if so, all lower fences are rejected from then on. */
    public boolean admits(String leaseName, long fence) {
        boolean isCurrent = fence >= highestFences.getOrDefault(leaseName, 0L);
        if (isCurrent) {
            highestFences.put(leaseName, fence);
        } else {
            rejectedCount++;
        }
        return isCurrent;
    }

    /** How many acts were rejected. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
