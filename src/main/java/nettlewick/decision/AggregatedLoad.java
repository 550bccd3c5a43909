package nettlewick.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * The slots that each dispatcher has in flight at one endpoint, kept by the endpoint's owner, and the watchers that
 * receive their sum.
 */
final class AggregatedLoad {
    private static final long SECOND_NANOS = 1_000_000_000;
    /** Age at which a report of slots in flight expires. */
    private static final long REPORT_TTL_NANOS = SECOND_NANOS;
    /** Age at which a watcher's subscription expires. */
    private static final long WATCH_TTL_NANOS = 5 * SECOND_NANOS / 2;

    private static final long SUM_REFRESH_NANOS = SECOND_NANOS / 2;
    /** A lower sum is not sent earlier than this after the last one, since the slot is often reused meanwhile. */
    private static final long DECREASE_DELAY_NANOS = SECOND_NANOS / 10;

    private record ReportedSlots(int slots, long reportedAt) {}

    /** A dispatcher that watches the endpoint, and the sum last sent to it. */
    private static final class Watcher {
        private long refreshedAt;
        private int lastSum;
        private long lastSumAt = SchedulerClock.NEVER;
    }

    /** Receives the sums that are to be sent. */
    interface SumConsumer {
        /** Called once for each watcher to which a sum is due. */
        void accept(int rank, int peerSlots);
    }

    private final Map<Integer, ReportedSlots> reportsByRank = new HashMap<>();
    private final Map<Integer, Watcher> watchersByRank = new HashMap<>();
    private boolean hasChanged = true;

    /** Records the slots that a dispatcher has in flight; 0 removes its entry. */
    void recordInFlight(int rank, int slots, long now) {
        ReportedSlots previous =
                slots == 0 ? reportsByRank.remove(rank) : reportsByRank.put(rank, new ReportedSlots(slots, now));
        hasChanged |= (previous == null ? 0 : previous.slots()) != slots;
    }

    void recordWatch(int rank, long now) {
        Watcher watcher = watchersByRank.get(rank);
        if (watcher == null) {
            watcher = new Watcher();
            watchersByRank.put(rank, watcher);
            hasChanged = true;
        }
        watcher.refreshedAt = now;
    }

    /** Removes reports and watchers that were not refreshed in time. */
    void expire(long now) {
        hasChanged |= reportsByRank.values().removeIf(report -> now - report.reportedAt() > REPORT_TTL_NANOS);
        watchersByRank.values().removeIf(watcher -> now - watcher.refreshedAt > WATCH_TTL_NANOS);
    }

    boolean isUnused() {
        return reportsByRank.isEmpty() && watchersByRank.isEmpty();
    }

    /** Whether a sum may have changed since it was sent to every watcher. */
    boolean hasChanged() {
        return hasChanged;
    }

    /** Sends each watcher the sum of the other dispatchers' slots if it has changed or its refresh is due. */
    void notifyWatchers(long now, SumConsumer consumer) {
        hasChanged = false;
        int total = 0;
        for (ReportedSlots report : reportsByRank.values()) {
            total += report.slots();
        }
        for (Map.Entry<Integer, Watcher> entry : watchersByRank.entrySet()) {
            notify(entry.getKey(), entry.getValue(), total, now, consumer);
        }
    }

    /** A higher sum is sent at once; otherwise watchers would overload an endpoint that is already full. */
    private void notify(int rank, Watcher watcher, int total, long now, SumConsumer consumer) {
        ReportedSlots own = reportsByRank.get(rank);
        int peerSlots = Math.min(AggregationMessage.MAX_SLOTS, total - (own == null ? 0 : own.slots()));
        if (peerSlots < watcher.lastSum && now - watcher.lastSumAt < DECREASE_DELAY_NANOS) {
            hasChanged = true;
        } else if (peerSlots != watcher.lastSum || peerSlots > 0 && now - watcher.lastSumAt >= SUM_REFRESH_NANOS) {
            watcher.lastSum = peerSlots;
            watcher.lastSumAt = now;
            consumer.accept(rank, peerSlots);
        }
    }
}
