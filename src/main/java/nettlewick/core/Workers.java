package nettlewick.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettlewick.decision.Dispatcher.Life;
import nettlewick.decision.Dispatcher.WorkerEntry;
import nettlewick.decision.Dispatcher.WorkerList;

/** Which workers discovery has named, and which of them take jobs now. */
final class Workers {
    private final Set<String> ready = new HashSet<>();
    private final Set<String> known = new HashSet<>();
    private final Set<String> banned = new HashSet<>();

    /** Takes news of the list over; the same as the module reads it comes back. */
    WorkerList take(Roster roster) {
        if (roster.whole()) {
            ready.clear();
        }
        List<WorkerEntry> entries = new ArrayList<>();
        for (Roster.Entry e : roster.entries()) {
            known.add(e.worker());
            if (e.life() == Life.READY) {
                ready.add(e.worker());
            } else {
                ready.remove(e.worker());
            }
            entries.add(new WorkerEntry(
                    e.worker(),
                    e.life(),
                    e.startedAt() > 0 ? Turns.nanos(e.startedAt()) : 0,
                    e.cell(),
                    e.kind(),
                    e.zone(),
                    e.size()));
        }
        return new WorkerList(roster.whole(), entries);
    }

    void ban(String worker, boolean out) {
        if (out) {
            banned.add(worker);
        } else {
            banned.remove(worker);
        }
    }

    boolean knows(String worker) {
        return known.contains(worker);
    }

    boolean takes(String worker) {
        return ready.contains(worker) && !banned.contains(worker);
    }
}
