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

/** The list of workers as it was told, and what operators make of it: a banned worker counts as draining. */
final class EndpointRegistry {
    private final Map<String, EndpointEntry> discovered = new LinkedHashMap<>();
    private final Map<String, EndpointAdminChange> adminChanges = new HashMap<>();

    /** Put back by operators, and not seen at work since. */
    private final Set<String> reenabled = new HashSet<>();

    /** Takes news of the list over; what the module should go by comes back. */
    EndpointList apply(EndpointList news) {
        if (news.whole()) {
            discovered.clear();
        }
        List<EndpointEntry> seen = new ArrayList<>();
        for (EndpointEntry entry : news.entries()) {
            if (entry.state() == EndpointState.GONE) {
                discovered.remove(entry.id());
            } else {
                discovered.put(entry.id(), entry);
            }
            seen.add(effectiveEntry(entry));
        }
        return new EndpointList(news.whole(), seen);
    }

    /** Takes a ban or its end over. */
    EndpointList apply(EndpointAdminChange ban) {
        adminChanges.put(ban.endpoint(), ban);
        if (ban.disabled()) {
            reenabled.remove(ban.endpoint());
        } else {
            reenabled.add(ban.endpoint());
        }
        EndpointEntry entry = discovered.get(ban.endpoint());
        return new EndpointList(false, entry == null ? List.of() : List.of(effectiveEntry(entry)));
    }

    /**
     * Whether discovery lists this worker as ready, bans aside. Danger: peers name workers by their places
     * among these. Bans are each dispatcher's own: the places would mean other workers at the other end.
     */
    boolean isDiscoveredReady(String endpoint) {
        EndpointEntry entry = discovered.get(endpoint);
        return entry != null && entry.state() == EndpointState.READY;
    }

    /** Whether operators have put this worker back and it has served nothing since. */
    boolean isReenabled(String endpoint) {
        return reenabled.contains(endpoint);
    }

    void recordServed(String endpoint) {
        reenabled.remove(endpoint);
    }

    private EndpointEntry effectiveEntry(EndpointEntry e) {
        EndpointAdminChange ban = adminChanges.get(e.id());
        if (ban == null || e.state() == EndpointState.GONE) {
            return e;
        }
        // Danger: a worker that is back was restarted meanwhile; discovery may not know yet that it is cold.
        long startedAt = ban.disabled() ? e.startedAt() : Math.max(e.startedAt(), ban.since());
        return new EndpointEntry(
                e.id(),
                ban.disabled() ? EndpointState.DRAINING : e.state(),
                startedAt,
                e.cell(),
                e.kind(),
                e.zone(),
                e.size());
    }

    /** How many are on the list, and how many of them are avoided. */
    EndpointCounts count(Predicate<String> avoided) {
        return new EndpointCounts(discovered.size(), (int)
                discovered.keySet().stream().filter(avoided).count());
    }
}
