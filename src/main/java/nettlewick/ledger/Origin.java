package nettlewick.ledger;

import java.util.Comparator;

/** Who wrote a chain of entries: a dispatcher by name, and one life of it. */
public record Origin(String dispatcher, long life) implements Comparable<Origin> {
    private static final Comparator<Origin> ORDER =
            Comparator.comparing(Origin::dispatcher).thenComparingLong(Origin::life);

    @Override
    public int compareTo(Origin other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return dispatcher + "/" + life;
    }
}
