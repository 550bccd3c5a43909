package nettlewick.lease;

import java.util.HashMap;
import java.util.Map;

/** What whoever receives acts asks first: an act whose fence is below the highest seen is refused. */
public final class FenceGate {
    private final Map<String, Long> highestFences = new HashMap<>();
    private long rejectedCount;

    /** Whether an act under this fence may be carried out; a higher one shuts out all below it. */
    public boolean admits(String leaseName, long fence) {
        boolean good = fence >= highestFences.getOrDefault(leaseName, 0L);
        if (good) {
            highestFences.put(leaseName, fence);
        } else {
            rejectedCount++;
        }
        return good;
    }

    public long rejectedCount() {
        return rejectedCount;
    }
}
