package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import nettlewick.decision.Dispatcher.Ban;
import nettlewick.decision.Dispatcher.Life;
import nettlewick.decision.Dispatcher.Rotation;
import nettlewick.decision.Dispatcher.WorkerEntry;
import nettlewick.decision.Dispatcher.WorkerList;

/** The list of workers as it was told, and what operators make of it: a banned worker counts as draining. */
final class Roll {
    private final Map<String, WorkerEntry> told = new LinkedHashMap<>();
    private final Map<String, Ban> bans = new HashMap<>();

    /** Put back by operators, and not seen at work since. */
    private final Set<String> back = new HashSet<>();

    /** Takes news of the list over; what the module should go by comes back. */
    WorkerList heed(WorkerList news) {
        if (news.whole()) {
            told.clear();
        }
        List<WorkerEntry> seen = new ArrayList<>();
        for (WorkerEntry entry : news.entries()) {
            if (entry.life() == Life.GONE) {
                told.remove(entry.worker());
            } else {
                told.put(entry.worker(), entry);
            }
            seen.add(seen(entry));
        }
        return new WorkerList(news.whole(), seen);
    }

    /** Takes a ban or its end over. */
    WorkerList heed(Ban ban) {
        bans.put(ban.worker(), ban);
        if (ban.out()) {
            back.remove(ban.worker());
        } else {
            back.add(ban.worker());
        }
        WorkerEntry entry = told.get(ban.worker());
        return new WorkerList(false, entry == null ? List.of() : List.of(seen(entry)));
    }

    /**
     * Whether discovery lists this worker as ready, bans aside. Danger: peers name workers by their places
     * among these. Bans are each dispatcher's own: the places would mean other workers at the other end.
     */
    boolean tellsReady(String worker) {
        WorkerEntry entry = told.get(worker);
        return entry != null && entry.life() == Life.READY;
    }

    /** Whether operators have put this worker back and it has served nothing since. */
    boolean back(String worker) {
        return back.contains(worker);
    }

    void served(String worker) {
        back.remove(worker);
    }

    private WorkerEntry seen(WorkerEntry e) {
        Ban ban = bans.get(e.worker());
        if (ban == null || e.life() == Life.GONE) {
            return e;
        }
        // Danger: a worker that is back was restarted meanwhile; discovery may not know yet that it is cold.
        long startedAt = ban.out() ? e.startedAt() : Math.max(e.startedAt(), ban.since());
        return new WorkerEntry(
                e.worker(), ban.out() ? Life.DRAINING : e.life(), startedAt, e.cell(), e.kind(), e.zone(), e.size());
    }

    /** How many are on the list, and how many of them are avoided. */
    Rotation count(Predicate<String> avoided) {
        return new Rotation(
                told.size(), (int) told.keySet().stream().filter(avoided).count());
    }
}
