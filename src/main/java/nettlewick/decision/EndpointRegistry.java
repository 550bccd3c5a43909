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

/** The discovered endpoint list combined with operators' changes: a disabled endpoint counts as draining. */
final class EndpointRegistry {
    private final Map<String, EndpointEntry> discovered = new LinkedHashMap<>();
    private final Map<String, EndpointAdminChange> adminChanges = new HashMap<>();

    /** Ids of endpoints that operators have re-enabled and that have not served a request since. */
    private final Set<String> reenabled = new HashSet<>();

    /** Applies an update of the list and returns it with operators' changes included. */
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

    /** Applies an operator's change and returns the resulting update of the list. */
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
     * Whether discovery lists this endpoint as ready, regardless of operators' changes. Endpoint id hashes in peer
     * messages must identify the same endpoints at all dispatchers, but operators' changes reach each dispatcher at a
     * different time.
     */
    boolean isDiscoveredReady(String endpoint) {
        EndpointEntry entry = discovered.get(endpoint);
        return entry != null && entry.state() == EndpointState.READY;
    }

    /** Whether operators have re-enabled this endpoint and it has not served a request since. */
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
        // A re-enabled endpoint has been restarted; discovery may not report the new start time yet.
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

    /** Counts the listed endpoints and the unavailable ones among them. */
    EndpointCounts count(Predicate<String> isUnavailable) {
        return new EndpointCounts(discovered.size(), (int)
                discovered.keySet().stream().filter(isUnavailable).count());
    }
}
