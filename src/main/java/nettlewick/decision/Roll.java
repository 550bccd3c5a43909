package nettlewick.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import nettlewick.decision.Dispatcher.Life;
import nettlewick.decision.Dispatcher.Rotation;
import nettlewick.decision.Dispatcher.WorkerEntry;
import nettlewick.decision.Dispatcher.WorkerList;

/** The list of workers as it was told. */
final class Roll {
    private final Map<String, WorkerEntry> told = new LinkedHashMap<>();

    /** Takes news over. */
    WorkerList heed(WorkerList news) {
        if (news.whole()) {
            told.clear();
        }
        for (WorkerEntry entry : news.entries()) {
            if (entry.life() == Life.GONE) {
                told.remove(entry.worker());
            } else {
                told.put(entry.worker(), entry);
            }
        }
        return news;
    }

    /** How many are on the list, and how many of them are avoided. */
    Rotation count(Predicate<String> avoided) {
        return new Rotation(told.size(), (int) told.keySet().stream().filter(avoided).count());
    }
}
