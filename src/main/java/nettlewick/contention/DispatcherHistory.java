package nettlewick.contention;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The reports of one incarnation of a dispatcher: its cumulative counts at the end of each recent window. */
final class DispatcherHistory {
    private long incarnation;
    private final TreeMap<Long, UsageReport> countsByWindow = new TreeMap<>();

    /** Adds a report; one of a new incarnation discards all earlier ones, since counts start again from zero. */
    void record(long reportedIncarnation, long window, UsageReport report) {
        if (incarnation != reportedIncarnation) {
            incarnation = reportedIncarnation;
            countsByWindow.clear();
        }
        countsByWindow.merge(window, report, UsageReport::maximum);
    }

    /**
     * Passes what was counted within each window to {@code consumer}. The first report known is a starting point only:
     * what was counted before it belongs to no window.
     *
     * @param firstWindow the oldest window of interest; reports that are not needed for it are discarded
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

    /** The baseline of the latest report; none if nothing was reported. */
    UncontendedBaseline latestBaseline() {
        return countsByWindow.isEmpty()
                ? UncontendedBaseline.NONE
                : countsByWindow.lastEntry().getValue().baseline();
    }
}
