package nettlewick.decision;

import java.util.HashMap;
import java.util.Map;

/** What dispatchers have in flight at an endpoint whose sums this dispatcher keeps, and who watches the endpoint. */
final class AggregatedLoad {
    private static final long SECOND_NANOS = 1_000_000_000;
    /** For how long a holding is believed. */
    private static final long HOLDING_TTL_NANOS = SECOND_NANOS;
    /** For how long a watch is believed. */
    private static final long WATCH_TTL_NANOS = 5 * SECOND_NANOS / 2;

    private static final long SUM_REFRESH_NANOS = SECOND_NANOS / 2;
    /** A lower sum waits this long after the last one: often the slot is taken again meanwhile. */
    private static final long DECREASE_DELAY_NANOS = SECOND_NANOS / 10;

    private record Holding(int slots, long reportedAt) {}

    /** A dispatcher that watches the endpoint, and the sum it was sent last. */
    private static final class Watcher {
        private long subscribedAt;
        private int lastSum;
        private long lastSumAt = SchedulerClock.NEVER;
    }

    /** Takes a sum for the dispatcher of a rank. */
    interface SumConsumer {
        /** Called once for each watcher that is due a sum. */
        void accept(int rank, int slotsOfOthers);
    }

    private final Map<Integer, Holding> holdings = new HashMap<>();
    private final Map<Integer, Watcher> watchers = new HashMap<>();
    private boolean hasChanged = true;

    /** Records what a dispatcher holds; 0 slots end the holding. */
    void recordHolding(int rank, int slots, long now) {
        Holding before = slots == 0 ? holdings.remove(rank) : holdings.put(rank, new Holding(slots, now));
        hasChanged |= (before == null ? 0 : before.slots()) != slots;
    }

    void recordWatch(int rank, long now) {
        Watcher watcher = watchers.get(rank);
        if (watcher == null) {
            watcher = new Watcher();
            watchers.put(rank, watcher);
            hasChanged = true;
        }
        watcher.subscribedAt = now;
    }

    /** Forgets holdings and watches that were not refreshed in time. */
    void expire(long now) {
        hasChanged |= holdings.values().removeIf(holding -> now - holding.reportedAt() > HOLDING_TTL_NANOS);
        watchers.values().removeIf(watcher -> now - watcher.subscribedAt > WATCH_TTL_NANOS);
    }

    boolean isUnused() {
        return holdings.isEmpty() && watchers.isEmpty();
    }

    /** Whether a sum may have to be sent. */
    boolean hasChanged() {
        return hasChanged;
    }

    /** Sends each watcher the sum of the others, where that has changed or is due again. */
    void notifyWatchers(long now, SumConsumer consumer) {
        hasChanged = false;
        int total = 0;
        for (Holding holding : holdings.values()) {
            total += holding.slots();
        }
        for (Map.Entry<Integer, Watcher> entry : watchers.entrySet()) {
            notify(entry.getKey(), entry.getValue(), total, now, consumer);
        }
    }

    /** A higher sum is sent at once, or too many requests would be sent to an endpoint that is full. */
    private void notify(int rank, Watcher watcher, int total, long now, SumConsumer consumer) {
        Holding own = holdings.get(rank);
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
