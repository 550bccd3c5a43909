package nettlewick.ledger;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettlewick.ledger.Entry.Kind;
import nettlewick.sqlite.StoreException;

/** Enters what lives that are dead left in their spools: each job once, as answered or as in doubt. */
final class Recovery {
    private static final long CHUNK = 10_000;

    /** What was found and done. */
    record Report(int answered, int doubts, List<String> damage) {
        boolean idle() {
            return answered == 0 && doubts == 0 && damage.isEmpty();
        }
    }

    private Recovery() {}

    /** Recovers all dead lives of the store's folder; safe to cut off and to run again. */
    static Report run(Store store, double now, Terms terms) throws StoreException {
        int answered = 0;
        int doubts = 0;
        List<String> damage = new ArrayList<>();
        try {
            for (long life : Spool.dead(store.folder())) {
                try (AutoCloseable mine = Spool.claim(store.folder(), life)) {
                    Spool.Found found = Spool.read(store.folder(), life);
                    if (found == null) {
                        continue;
                    }
                    List<Entry> missing = missing(store, found, terms);
                    enter(store, found, missing, now);
                    answered += (int)
                            missing.stream().filter(e -> e.kind() == Kind.JOB).count();
                    doubts += (int)
                            missing.stream().filter(e -> e.kind() == Kind.DOUBT).count();
                    damage.addAll(found.damage());
                    for (Path file : found.files()) {
                        if (found.damage().stream().anyMatch(line -> line.startsWith(file.toString()))) {
                            Files.move(file, file.resolveSibling(file.getFileName() + ".damaged-" + (long) now));
                        } else {
                            Files.deleteIfExists(file);
                        }
                    }
                } catch (StoreException e) {
                    throw e;
                } catch (IOException e) {
                    // Another process recovers it, or it cannot be read: it waits for the next start.
                    damage.add("life " + life + ": " + e.getMessage());
                } catch (Exception e) {
                    throw new StoreException("the spool of life " + life + " cannot be read: " + e, e, false);
                }
            }
        } catch (IOException e) {
            throw new StoreException("the folder of the ledger cannot be read: " + e.getMessage(), e, false);
        }
        return new Report(answered, doubts, damage);
    }

    /**
     * Danger: in a store that does not know the end of the life's chain (a new one, for a damaged one) its
     * numbers
     * may be given by now, at peers; its jobs go into a chain of their own.
     */
    private static void enter(Store store, Spool.Found found, List<Entry> missing, double now) throws StoreException {
        if (!missing.isEmpty()) {
            store.append(lost(store, found) ? store.begin(now) : found.origin(), missing);
        }
    }

    private static boolean lost(Store store, Spool.Found found) throws StoreException {
        return store.head(found.origin()).number() < found.head()
                || !store.dispatcher().equals(found.origin().dispatcher());
    }

    /** The jobs of the spool that the store has no entry of. */
    private static List<Entry> missing(Store store, Spool.Found found, Terms terms) throws StoreException {
        Store.Head head = store.head(found.origin());
        boolean lost = lost(store, found);
        String why = lost
                ? "life " + found.origin().life() + " was lost with its store"
                : "the process ended before its answer was confirmed";
        Set<Long> entered = new HashSet<>();
        if (lost) {
            store.each(e -> {
                if (e.kind() == Kind.DOUBT && why.equals(e.text())) {
                    entered.add(e.job());
                }
            });
        }
        for (long from = found.head() + 1; from <= head.number(); from += CHUNK) {
            for (Store.Row row : store.rows(found.origin(), from, from + CHUNK - 1)) {
                if (row.bytes() != null) {
                    Entry e = Entry.of(row.bytes());
                    if (e.kind() == Kind.JOB || e.kind() == Kind.DOUBT) {
                        entered.add(e.job());
                    }
                }
            }
        }
        List<Entry> missing = new ArrayList<>();
        for (Entry draft : found.intents().values()) {
            Entry ended = found.ended().get(draft.job());
            if (entered.contains(draft.job())) {
                continue;
            }
            missing.add(ended != null && !lost ? ended.in(terms) : doubt(draft, why));
        }
        return missing;
    }

    private static Entry doubt(Entry draft, String why) {
        return new Entry(
                draft.ref(),
                Kind.DOUBT,
                draft.at(),
                draft.member(),
                draft.jobClass(),
                draft.request(),
                draft.key(),
                draft.end(),
                draft.work(),
                draft.estimate(),
                draft.spare(),
                draft.attempts(),
                draft.job(),
                null,
                null,
                why);
    }
}
