package nettlewick.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettlewick.decision.EndpointEntry;
import nettlewick.decision.EndpointState;
import nettlewick.decision.Event.EndpointList;

/** Which workers discovery has named, and which of them take jobs now. */
final class EndpointStates {
    private final Set<String> ready = new HashSet<>();
    private final Set<String> known = new HashSet<>();
    private final Set<String> banned = new HashSet<>();

    /** Takes news of the list over; the same as the module reads it comes back. */
    EndpointList take(EndpointUpdate roster) {
        if (roster.whole()) {
            ready.clear();
        }
        List<EndpointEntry> entries = new ArrayList<>();
        for (EndpointUpdate.Entry e : roster.entries()) {
            known.add(e.id());
            if (e.state() == EndpointState.READY) {
                ready.add(e.id());
            } else {
                ready.remove(e.id());
            }
            entries.add(new EndpointEntry(
                    e.id(),
                    e.state(),
                    e.startedAt() > 0 ? CoreLoop.nanos(e.startedAt()) : 0,
                    e.cell(),
                    e.kind(),
                    e.zone(),
                    e.size()));
        }
        return new EndpointList(roster.whole(), entries);
    }

    void ban(String endpoint, boolean out) {
        if (out) {
            banned.add(endpoint);
        } else {
            banned.remove(endpoint);
        }
    }

    boolean knows(String endpoint) {
        return known.contains(endpoint);
    }

    boolean takes(String endpoint) {
        return ready.contains(endpoint) && !banned.contains(endpoint);
    }
}
