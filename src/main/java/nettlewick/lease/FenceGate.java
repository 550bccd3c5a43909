package nettlewick.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Protects a resource from former holders of a lease: rejects operations whose fence is lower than the highest one seen
 * for that lease. Not thread-safe.
 */
public final class FenceGate {
    private final Map<String, Long> highestFences = new HashMap<>();
    private long rejectedCount;

    /** Whether an operation under this fence is admitted; if so, all lower fences are rejected from then on. */
    public boolean admits(String leaseName, long fence) {
        boolean isCurrent = fence >= highestFences.getOrDefault(leaseName, 0L);
        if (isCurrent) {
            highestFences.put(leaseName, fence);
        } else {
            rejectedCount++;
        }
        return isCurrent;
    }

    /** The number of rejected operations. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
