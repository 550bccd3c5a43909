package nettlewick.ledger;

import com.google.gson.annotations.SerializedName;
import java.util.Comparator;

/**
 * Identifies the writer of a chain of entries.
 *
 * @param incarnation number of the process run of the dispatcher: its start in Unix seconds, or the next free number;
 *                    stored and printed as {@code life}
 */
public record ChainOrigin(
        String dispatcher, @SerializedName("life") long incarnation) implements Comparable<ChainOrigin> {
    private static final Comparator<ChainOrigin> ORDER =
            Comparator.comparing(ChainOrigin::dispatcher).thenComparingLong(ChainOrigin::incarnation);

    @Override
    public int compareTo(ChainOrigin other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return dispatcher + "/" + incarnation;
    }
}
