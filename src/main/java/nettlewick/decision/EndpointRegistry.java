package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import nettlewick.decision.Dispatcher.EndpointCounts;
import nettlewick.decision.Event.EndpointAdminChange;
import nettlewick.decision.Event.EndpointList;

/** The endpoint list as discovered, with the changes of operators: a disabled endpoint counts as draining. */
final class EndpointRegistry {
    private final Map<String, EndpointEntry> discovered = new LinkedHashMap<>();
    private final Map<String, EndpointAdminChange> adminChanges = new HashMap<>();

    /** Ids enabled again by operators that have served nothing since. */
    private final Set<String> reenabled = new HashSet<>();

    /** Takes an update of the list over and returns it as the module should see it. */
    EndpointList apply(EndpointList update) {
        if (update.isComplete()) {
            discovered.clear();
        }
        List<EndpointEntry> effective = new ArrayList<>();
        for (EndpointEntry entry : update.entries()) {
            if (entry.state() == EndpointState.GONE) {
                discovered.remove(entry.id());
            } else {
                discovered.put(entry.id(), entry);
            }
            effective.add(effectiveEntry(entry));
        }
        return new EndpointList(update.isComplete(), effective);
    }

    /** Takes an operator's change over and returns the update that it amounts to. */
    EndpointList apply(EndpointAdminChange change) {
        adminChanges.put(change.endpoint(), change);
        if (change.isDisabled()) {
            reenabled.remove(change.endpoint());
        } else {
            reenabled.add(change.endpoint());
        }
        EndpointEntry entry = discovered.get(change.endpoint());
        return new EndpointList(false, entry == null ? List.of() : List.of(effectiveEntry(entry)));
    }

    /**
     * Whether discovery lists this endpoint as ready, whatever operators say: marks of endpoints in peer messages
     * must mean the same at all dispatchers, and operators' changes reach each one at its own time.
     */
    boolean isDiscoveredReady(String endpoint) {
        EndpointEntry entry = discovered.get(endpoint);
        return entry != null && entry.state() == EndpointState.READY;
    }

    /** Whether operators have enabled this endpoint again and it has served nothing since. */
    boolean isReenabled(String endpoint) {
        return reenabled.contains(endpoint);
    }

    /** Records that the endpoint has served a request. */
    void recordServed(String endpoint) {
        reenabled.remove(endpoint);
    }

    private EndpointEntry effectiveEntry(EndpointEntry entry) {
        EndpointAdminChange change = adminChanges.get(entry.id());
        if (change == null || entry.state() == EndpointState.GONE) {
            return entry;
        }
        // An endpoint that is enabled again was restarted meanwhile; discovery may not know yet that it is warming up.
        long startedAt = change.isDisabled() ? entry.startedAt() : Math.max(entry.startedAt(), change.since());
        return new EndpointEntry(
                entry.id(),
                change.isDisabled() ? EndpointState.DRAINING : entry.state(),
                startedAt,
                entry.cell(),
                entry.kind(),
                entry.zone(),
                entry.size());
    }

    /** How many endpoints are on the list, and how many of them are unavailable. */
    EndpointCounts count(Predicate<String> isUnavailable) {
        return new EndpointCounts(discovered.size(), (int)
                discovered.keySet().stream().filter(isUnavailable).count());
    }
}
