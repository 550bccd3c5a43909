package nettlewick.contention;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** Usage reports from one incarnation of a dispatcher: its cumulative counts at the end of each recent window. */
final class DispatcherHistory {
    private long incarnation;
    private final TreeMap<Long, UsageReport> countsByWindow = new TreeMap<>();

    /** Adds a report. One from a new incarnation discards all earlier reports, since its counts start from zero. */
    void record(long reportedIncarnation, long window, UsageReport report) {
        if (incarnation != reportedIncarnation) {
            incarnation = reportedIncarnation;
            countsByWindow.clear();
        }
        countsByWindow.merge(window, report, UsageReport::maximum);
    }

    /**
     * Passes the counts of each single window to {@code consumer}. The first known report serves as the starting point
     * only: its counts cannot be assigned to a window.
     *
     * @param firstWindow the oldest window needed; reports too old to compute it are discarded
     */
    void forEachWindow(long firstWindow, BiConsumer<Long, UsageReport> consumer) {
        countsByWindow.headMap(firstWindow - 1).clear();
        UsageReport previous = null;
        for (Map.Entry<Long, UsageReport> entry : countsByWindow.entrySet()) {
            // A delayed report may hold lower counts than one for an older window.
            UsageReport cumulative = previous == null ? entry.getValue() : previous.maximum(entry.getValue());
            if (previous != null) {
                consumer.accept(entry.getKey(), cumulative.minus(previous));
            }
            previous = cumulative;
        }
    }

    /** The baseline in the report on the latest window; {@link UncontendedBaseline#NONE} without reports. */
    UncontendedBaseline latestBaseline() {
        return countsByWindow.isEmpty()
                ? UncontendedBaseline.NONE
                : countsByWindow.lastEntry().getValue().baseline();
    }
}
