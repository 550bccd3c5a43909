package nettlewick.decision;

import java.util.HashMap;
import java.util.Map;

/** What dispatchers have in flight at an endpoint whose sums this dispatcher keeps, and who watches the endpoint. */
final class AggregatedLoad {
    private static final long SECOND_NANOS = 1_000_000_000;
    /** For how long a holding is believed. */
    private static final long REPORT_TTL_NANOS = SECOND_NANOS;
    /** For how long a watch is believed. */
    private static final long WATCH_TTL_NANOS = 5 * SECOND_NANOS / 2;

    private static final long SUM_REFRESH_NANOS = SECOND_NANOS / 2;
    /** A lower sum waits this long after the last one: often the slot is taken again meanwhile. */
    private static final long DECREASE_DELAY_NANOS = SECOND_NANOS / 10;

    private record ReportedSlots(int slots, long reportedAt) {}

    /** A dispatcher that watches the endpoint, and the sum it was sent last. */
    private static final class Watcher {
        private long refreshedAt;
        private int lastSum;
        private long lastSumAt = SchedulerClock.NEVER;
    }

    /** Takes a sum for the dispatcher of a rank. */
    interface SumConsumer {
        /** Called once for each watcher that is due a sum. */
        void accept(int rank, int slotsOfOthers);
    }

    private final Map<Integer, ReportedSlots> reportsByRank = new HashMap<>();
    private final Map<Integer, Watcher> watchersByRank = new HashMap<>();
    private boolean hasChanged = true;

    /** Records what a dispatcher holds; 0 slots end the holding. */
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

    /** Forgets holdings and watches that were not refreshed in time. */
    void expire(long now) {
        hasChanged |= reportsByRank.values().removeIf(report -> now - report.reportedAt() > REPORT_TTL_NANOS);
        watchersByRank.values().removeIf(watcher -> now - watcher.refreshedAt > WATCH_TTL_NANOS);
    }

    boolean isUnused() {
        return reportsByRank.isEmpty() && watchersByRank.isEmpty();
    }

    /** Whether a sum may have to be sent. */
    boolean hasChanged() {
        return hasChanged;
    }

    /** Sends each watcher the sum of the others, where that has changed or is due again. */
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

    /** A higher sum is sent at once, or too many requests would be sent to an endpoint that is full. */
    private void notify(int rank, Watcher watcher, int total, long now, SumConsumer consumer) {
        ReportedSlots own = reportsByRank.get(rank);
        int others = Math.min(AggregationMessage.MAX_SLOTS, total - (own == null ? 0 : own.slots()));
        if (others < watcher.lastSum && now - watcher.lastSumAt < DECREASE_DELAY_NANOS) {
            hasChanged = true;
        } else if (others != watcher.lastSum || others > 0 && now - watcher.lastSumAt >= SUM_REFRESH_NANOS) {
            watcher.lastSum = others;
            watcher.lastSumAt = now;
            consumer.accept(rank, others);
        }
    }
}
