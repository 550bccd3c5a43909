package nettlewick.ledger;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.ledger.Store.Head;
import nettlewick.ledger.Store.Row;

/** What two ledgers have to do to hold the same, decided from the ends of their chains. Does no I/O. */
final class ReconciliationPlan {
    /** One thing to do about an origin. */
    enum Action {
        /** The peer's chain is longer: its tail is fetched. */
        FETCH,
        /** The peer's chain is no longer: its end has to be a link of ours. */
        COMPARE
    }

    /** {@code theirs} is the peer's end of the chain, {@code ours} our own. */
    record Step(Action action, ChainOrigin origin, Head ours, Head theirs) {}

    private ReconciliationPlan() {}

    /** The steps for all origins that the peer has, but those in quarantine; what is the same needs none. */
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
     * Links entries that came to the end of a chain. IllegalArgumentException with what is wrong where one
     * does
     * not follow: another origin, a number out of turn, bytes that are no entry.
     */
    static List<Row> linkEntries(ChainOrigin origin, Head start, List<byte[]> entries) {
        List<Row> rows = new ArrayList<>(entries.size());
        Head head = start;
        for (byte[] bytes : entries) {
            EntryRef expected = new EntryRef(origin, head.number() + 1);
            if (!Entry.fromBytes(bytes).ref().equals(expected)) {
                throw new IllegalArgumentException(
                        "entry " + Entry.fromBytes(bytes).ref() + " in place of " + expected);
            }
            head = new Head(expected.number(), Entry.chainHash(head.hash(), bytes));
            rows.add(new Row(head.number(), bytes, head.hash()));
        }
        return rows;
    }

    /** The end of a chain of rows. */
    static Head endOf(Head before, List<Row> rows) {
        return rows.isEmpty()
                ? before
                : new Head(
                        rows.get(rows.size() - 1).number(),
                        rows.get(rows.size() - 1).hash());
    }

    /** Finds the first number at which two chains differ, halving the range in which it lies. */
    static final class DivergenceSearch {
        private long lastEqual;
        private long firstDifferent;

        /** They differ at this number, and are the same before the first. */
        DivergenceSearch(long firstDifferent) {
            this.firstDifferent = firstDifferent;
        }

        boolean done() {
            return firstDifferent - lastEqual <= 1;
        }

        /** The number whose hashes are to be compared next. */
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

        /** The first number at which they differ. */
        long firstDifference() {
            return firstDifferent;
        }
    }
}
