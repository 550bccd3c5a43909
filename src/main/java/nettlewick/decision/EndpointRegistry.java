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
    private final Map<String, EndpointEntry> told = new LinkedHashMap<>();
    private final Map<String, EndpointAdminChange> bans = new HashMap<>();

    /** Put back by operators, and not seen at work since. */
    private final Set<String> back = new HashSet<>();

    /** Takes news of the list over; what the module should go by comes back. */
    EndpointList heed(EndpointList news) {
        if (news.whole()) {
            told.clear();
        }
        List<EndpointEntry> seen = new ArrayList<>();
        for (EndpointEntry entry : news.entries()) {
            if (entry.state() == EndpointState.GONE) {
                told.remove(entry.id());
            } else {
                told.put(entry.id(), entry);
            }
            seen.add(seen(entry));
        }
        return new EndpointList(news.whole(), seen);
    }

    /** Takes a ban or its end over. */
    EndpointList heed(EndpointAdminChange ban) {
        bans.put(ban.endpoint(), ban);
        if (ban.disabled()) {
            back.remove(ban.endpoint());
        } else {
            back.add(ban.endpoint());
        }
        EndpointEntry entry = told.get(ban.endpoint());
        return new EndpointList(false, entry == null ? List.of() : List.of(seen(entry)));
    }

    /**
     * Whether discovery lists this worker as ready, bans aside. Danger: peers name workers by their places
     * among these. Bans are each dispatcher's own: the places would mean other workers at the other end.
     */
    boolean tellsReady(String endpoint) {
        EndpointEntry entry = told.get(endpoint);
        return entry != null && entry.state() == EndpointState.READY;
    }

    /** Whether operators have put this worker back and it has served nothing since. */
    boolean back(String endpoint) {
        return back.contains(endpoint);
    }

    void served(String endpoint) {
        back.remove(endpoint);
    }

    private EndpointEntry seen(EndpointEntry e) {
        EndpointAdminChange ban = bans.get(e.id());
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
        return new EndpointCounts(
                told.size(), (int) told.keySet().stream().filter(avoided).count());
    }
}
