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

/**
 * Enters the requests that dead incarnations left in their spools into the store: each once, as answered or as in
 * doubt.
 */
final class Recovery {
    private static final long CHUNK_ENTRIES = 10_000;

    /** Counts of the entries that were recovered, and descriptions of damaged files. */
    record Report(int answered, int doubts, List<String> damage) {
        boolean isEmpty() {
            return answered == 0 && doubts == 0 && damage.isEmpty();
        }
    }

    private Recovery() {}

    /** Recovers all dead incarnations of the store; safe to interrupt and to repeat. */
    static Report run(Store store, double now, BillingCalendar calendar) throws StoreException {
        int answered = 0;
        int doubts = 0;
        List<String> damage = new ArrayList<>();
        try {
            for (long incarnation : Spool.findDead(store.folder())) {
                try (AutoCloseable lock = Spool.claim(store.folder(), incarnation)) {
                    Spool.Contents spooled = Spool.read(store.folder(), incarnation);
                    if (spooled == null) {
                        continue;
                    }
                    List<Entry> missing = findMissing(store, spooled, calendar);
                    appendMissing(store, spooled, missing, now);
                    answered += (int)
                            missing.stream().filter(e -> e.kind() == Kind.JOB).count();
                    doubts += (int)
                            missing.stream().filter(e -> e.kind() == Kind.DOUBT).count();
                    damage.addAll(spooled.damage());
                    for (Path file : spooled.files()) {
                        if (spooled.damage().stream().anyMatch(line -> line.startsWith(file.toString()))) {
                            Files.move(file, file.resolveSibling(file.getFileName() + ".damaged-" + (long) now));
                        } else {
                            Files.deleteIfExists(file);
                        }
                    }
                } catch (StoreException e) {
                    throw e;
                } catch (IOException e) {
                    // Another process recovers it, or it cannot be read: it is left for the next start.
                    damage.add("incarnation " + incarnation + ": " + e.getMessage());
                } catch (Exception e) {
                    throw new StoreException(
                            "the spool of incarnation " + incarnation + " cannot be read: " + e, e, false);
                }
            }
        } catch (IOException e) {
            throw new StoreException("cannot read the ledger folder: " + e.getMessage(), e, false);
        }
        return new Report(answered, doubts, damage);
    }

    /**
     * Appends to the chain of the incarnation, or to a new chain if the store does not know the end of that one (it was
     * created to replace a damaged store). Peers may already hold entries under the next numbers of the old chain, so
     * continuing it would fork the chain.
     */
    private static void appendMissing(Store store, Spool.Contents spooled, List<Entry> missing, double now)
            throws StoreException {
        if (!missing.isEmpty()) {
            store.append(isStoreLost(store, spooled) ? store.beginIncarnation(now) : spooled.origin(), missing);
        }
    }

    private static boolean isStoreLost(Store store, Spool.Contents spooled) throws StoreException {
        return store.head(spooled.origin()).number() < spooled.committedNumber()
                || !store.dispatcher().equals(spooled.origin().dispatcher());
    }

    /** Returns entries for the requests in the spool that the store has no entry of. */
    private static List<Entry> findMissing(Store store, Spool.Contents spooled, BillingCalendar calendar)
            throws StoreException {
        Store.Head head = store.head(spooled.origin());
        boolean storeLost = isStoreLost(store, spooled);
        // The text is stored and compared by later recoveries, so it must not change.
        String reason = storeLost
                ? "life " + spooled.origin().incarnation() + " was lost with its store"
                : "the process ended before its answer was confirmed";
        Set<Long> storedNumbers = new HashSet<>();
        if (storeLost) {
            store.forEachEntry(e -> {
                if (e.kind() == Kind.DOUBT && reason.equals(e.details())) {
                    storedNumbers.add(e.requestNumber());
                }
            });
        }
        for (long from = spooled.committedNumber() + 1; from <= head.number(); from += CHUNK_ENTRIES) {
            for (Store.Row row : store.rows(spooled.origin(), from, from + CHUNK_ENTRIES - 1)) {
                if (row.bytes() != null) {
                    Entry e = Entry.fromBytes(row.bytes());
                    if (e.kind() == Kind.JOB || e.kind() == Kind.DOUBT) {
                        storedNumbers.add(e.requestNumber());
                    }
                }
            }
        }
        List<Entry> missing = new ArrayList<>();
        for (Entry draft : spooled.intents().values()) {
            Entry finalEntry = spooled.finalEntries().get(draft.requestNumber());
            if (storedNumbers.contains(draft.requestNumber())) {
                continue;
            }
            missing.add(finalEntry != null && !storeLost ? finalEntry.withPeriod(calendar) : toDoubt(draft, reason));
        }
        return missing;
    }

    private static Entry toDoubt(Entry draft, String reason) {
        return new Entry(
                draft.ref(),
                Kind.DOUBT,
                draft.timeMillis(),
                draft.tenant(),
                draft.requestClass(),
                draft.requestId(),
                draft.keyHash(),
                draft.ending(),
                draft.workSlotMicros(),
                draft.isEstimate(),
                draft.extraWorkSlotMicros(),
                draft.attemptCount(),
                draft.requestNumber(),
                null,
                null,
                reason);
    }
}
