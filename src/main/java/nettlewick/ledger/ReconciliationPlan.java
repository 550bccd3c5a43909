package nettlewick.ledger;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.ledger.Store.Head;
import nettlewick.ledger.Store.Row;

/** Decides from the heads of the chains what to fetch from a peer and what to compare. Does no I/O. */
final class ReconciliationPlan {
    /** What to do about an origin. */
    enum Action {
        /** The peer's chain is longer: fetch its tail. */
        FETCH,
        /** The peer's chain is not longer: its head must be an entry of the local chain. */
        COMPARE
    }

    /** A step for one origin; {@code ours} and {@code theirs} are the local head and the head at the peer. */
    record Step(Action action, ChainOrigin origin, Head ours, Head theirs) {}

    private ReconciliationPlan() {}

    /** Returns the steps for the origins of the peer that are not quarantined; equal chains need none. */
    static List<Step> steps(Map<ChainOrigin, Head> ours, Map<ChainOrigin, Head> theirs, Set<ChainOrigin> quarantined) {
        List<Step> steps = new ArrayList<>();
        theirs.forEach((origin, their) -> {
            Head our = ours.getOrDefault(origin, Head.NONE);
            if (their.number() > 0 && !our.matches(their) && !quarantined.contains(origin)) {
                steps.add(new Step(their.number() > our.number() ? Action.FETCH : Action.COMPARE, origin, our, their));
            }
        });
        return steps;
    }

    /**
     * Computes the hashes of entries that were received to follow a head.
     *
     * @throws IllegalArgumentException if an entry does not follow: wrong origin or number, or malformed bytes
     */
    static List<Row> linkEntries(ChainOrigin origin, Head start, List<byte[]> entries) {
        List<Row> rows = new ArrayList<>(entries.size());
        Head head = start;
        for (byte[] bytes : entries) {
            EntryRef expected = new EntryRef(origin, head.number() + 1);
            if (!Entry.fromBytes(bytes).ref().equals(expected)) {
                throw new IllegalArgumentException(
                        "entry " + Entry.fromBytes(bytes).ref() + " instead of " + expected);
            }
            head = new Head(expected.number(), Entry.chainHash(head.hash(), bytes));
            rows.add(new Row(head.number(), bytes, head.hash()));
        }
        return rows;
    }

    /** Returns the head after the rows are appended. */
    static Head endOf(Head before, List<Row> rows) {
        return rows.isEmpty()
                ? before
                : new Head(
                        rows.get(rows.size() - 1).number(),
                        rows.get(rows.size() - 1).hash());
    }

    /** Binary search for the first number at which two chains differ. */
    static final class DivergenceSearch {
        private long lastEqual;
        private long firstDifferent;

        /** @param firstDifferent a number at which the chains differ */
        DivergenceSearch(long firstDifferent) {
            this.firstDifferent = firstDifferent;
        }

        boolean done() {
            return firstDifferent - lastEqual <= 1;
        }

        /** The number whose hashes have to be compared next. */
        long probe() {
            return lastEqual + (firstDifferent - lastEqual) / 2;
        }

        void update(byte[] ours, byte[] theirs) {
            if (Arrays.equals(ours, theirs)) {
                lastEqual = probe();
            } else {
                firstDifferent = probe();
            }
        }

        /** The first number at which the chains differ. */
        long firstDifference() {
            return firstDifferent;
        }
    }
}
