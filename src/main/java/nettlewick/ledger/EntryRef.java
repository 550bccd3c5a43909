package nettlewick.ledger;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Identifies an entry: its origin, and its number in the origin's chain, which counts from 1 without gaps. */
public record EntryRef(ChainOrigin origin, long number) implements Comparable<EntryRef> {
    private static final Pattern FORMAT = Pattern.compile("(.+)/(\\d{1,18})/(\\d{1,18})");

    /**
     * Parses {@code dispatcher/incarnation/number}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static EntryRef parse(String text) {
        Matcher m = FORMAT.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException(text + " is not an entry reference: expected DISPATCHER/LIFE/NUMBER");
        }
        return new EntryRef(new ChainOrigin(m.group(1), Long.parseLong(m.group(2))), Long.parseLong(m.group(3)));
    }

    @Override
    public int compareTo(EntryRef other) {
        int order = origin.compareTo(other.origin);
        return order != 0 ? order : Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return origin + "/" + number;
    }
}
