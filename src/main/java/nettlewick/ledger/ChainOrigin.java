package nettlewick.ledger;

import com.google.gson.annotations.SerializedName;
import java.util.Comparator;

/** Who wrote a chain of entries: a dispatcher by name, and one life of it. */
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
