package nettlewick.decision;

import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.Dispatcher.*;

/** Settings and events that the tests share. */
final class Samples {
    static final long MS = 1_000_000;
    static final long SECOND = 1000 * MS;

    private Samples() {}

    static JobClass jobClass(String name, Repeat repeat, Scope scope, double worth) {
        return new JobClass(name, repeat, scope, 4 * SECOND, 200 * MS, 2, 5 * SECOND, worth, 0, false, -1, 0);
    }

    static Limits limits(boolean all) {
        return new Limits(4, all, all, all, all, all, 2 * SECOND);
    }

    static Settings settings(int rank, int fleet, boolean allowed) {
        return new Settings(
                rank,
                fleet,
                "north",
                List.of(
                        jobClass("read", Repeat.RETRYABLE, Scope.ALL, 2),
                                jobClass("keyed", Repeat.DEDUP, Scope.ZONE, 2),
                        jobClass("book", Repeat.FRAGILE, Scope.ALL, 2), jobClass("cell", Repeat.DEDUP, Scope.CELL, 2)),
                List.of(new Tenant("red", 0.5, 10), new Tenant("blue", 0.5, 10)),
                List.of("box"),
                false,
                false,
                Reports.ON_PROBE,
                0,
                limits(allowed),
                new Rules(5 * MS, 10 * SECOND, 8 * SECOND, 0.25, 250 * MS, 2 * SECOND, 3));
    }

    static WorkerEntry entry(String id, Life life, long startedAt, String zone, int cell) {
        return new WorkerEntry(id, life, startedAt, cell, "box", zone, 1);
    }

    /** {@code count} warm workers, half of them in each zone, two to a cell. */
    static WorkerList workers(int count) {
        List<WorkerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry("w" + i, Life.READY, 0, i % 2 == 0 ? "north" : "south", i / 2));
        }
        return new WorkerList(true, entries);
    }

    static Arrival arrival(String id, String jobClass, String tenant) {
        return new Arrival(id, jobClass, tenant, 5 * SECOND, 1, 0, 0, null, false);
    }

    static Outcome outcome(Dispatch sent, int attempt, Result result) {
        return new Outcome(sent.id(), attempt, sent.worker(), result, 50 * MS, result == Result.SERVED, null);
    }

    static ProbeAnswer answer(String worker, double free, double waiting) {
        return new ProbeAnswer(worker, Result.SERVED, MS, new Load(free, Double.NaN, waiting, Double.NaN, Double.NaN));
    }

    static <T extends Action> List<T> only(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
