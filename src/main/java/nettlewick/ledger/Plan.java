package nettlewick.ledger;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.ledger.Store.Head;
import nettlewick.ledger.Store.Row;

/** What two ledgers have to do to hold the same, decided from the ends of their chains. Does no I/O. */
final class Plan {
    /** One thing to do about an origin. */
    enum What {
        /** The peer's chain is longer: its tail is fetched. */
        FETCH,
        /** The peer's chain is no longer: its end has to be a link of ours. */
        COMPARE
    }

    /** {@code theirs} is the peer's end of the chain, {@code ours} our own. */
    record Step(What what, ChainOrigin origin, Head ours, Head theirs) {}

    private Plan() {}

    /** The steps for all origins that the peer has, but those in quarantine; what is the same needs none. */
    static List<Step> steps(Map<ChainOrigin, Head> ours, Map<ChainOrigin, Head> theirs, Set<ChainOrigin> quarantined) {
        List<Step> steps = new ArrayList<>();
        theirs.forEach((origin, their) -> {
            Head our = ours.getOrDefault(origin, Head.NONE);
            if (their.number() > 0 && !our.same(their) && !quarantined.contains(origin)) {
                steps.add(new Step(their.number() > our.number() ? What.FETCH : What.COMPARE, origin, our, their));
            }
        });
        return steps;
    }

    /**
     * Links entries that came to the end of a chain. IllegalArgumentException with what is wrong where one
     * does
     * not follow: another origin, a number out of turn, bytes that are no entry.
     */
    static List<Row> link(ChainOrigin origin, Head after, List<byte[]> entries) {
        List<Row> rows = new ArrayList<>(entries.size());
        Head head = after;
        for (byte[] bytes : entries) {
            EntryRef expected = new EntryRef(origin, head.number() + 1);
            if (!Entry.of(bytes).ref().equals(expected)) {
                throw new IllegalArgumentException("entry " + Entry.of(bytes).ref() + " in place of " + expected);
            }
            head = new Head(expected.number(), Entry.link(head.hash(), bytes));
            rows.add(new Row(head.number(), bytes, head.hash()));
        }
        return rows;
    }

    /** The end of a chain of rows. */
    static Head end(Head before, List<Row> rows) {
        return rows.isEmpty()
                ? before
                : new Head(
                        rows.get(rows.size() - 1).number(),
                        rows.get(rows.size() - 1).hash());
    }

    /** Finds the first number at which two chains differ, halving the range in which it lies. */
    static final class Search {
        private long same;
        private long differs;

        /** They differ at this number, and are the same before the first. */
        Search(long differs) {
            this.differs = differs;
        }

        boolean done() {
            return differs - same <= 1;
        }

        /** The number whose hashes are to be compared next. */
        long ask() {
            return same + (differs - same) / 2;
        }

        void told(byte[] ours, byte[] theirs) {
            if (Arrays.equals(ours, theirs)) {
                same = ask();
            } else {
                differs = ask();
            }
        }

        /** The first number at which they differ. */
        long found() {
            return differs;
        }
    }
}
