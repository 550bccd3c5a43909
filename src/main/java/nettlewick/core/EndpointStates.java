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
    private final Set<String> disabled = new HashSet<>();

    /** Takes news of the list over; the same as the module reads it comes back. */
    EndpointList apply(EndpointUpdate roster) {
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
                    e.startedAt() > 0 ? ModuleTime.toNanos(e.startedAt()) : 0,
                    e.cell(),
                    e.kind(),
                    e.zone(),
                    e.size()));
        }
        return new EndpointList(roster.whole(), entries);
    }

    void setDisabled(String endpoint, boolean out) {
        if (out) {
            disabled.add(endpoint);
        } else {
            disabled.remove(endpoint);
        }
    }

    boolean isKnown(String endpoint) {
        return known.contains(endpoint);
    }

    boolean isAccepting(String endpoint) {
        return ready.contains(endpoint) && !disabled.contains(endpoint);
    }
}
