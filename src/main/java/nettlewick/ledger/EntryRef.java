package nettlewick.ledger;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry: its origin, and its place in the origin's chain, from 1 on without holes. */
public record EntryRef(ChainOrigin origin, long number) implements Comparable<EntryRef> {
    private static final Pattern FORMAT = Pattern.compile("(.+)/(\\d{1,18})/(\\d{1,18})");

    /** Reads {@code dispatcher/life/number}; IllegalArgumentException for anything else. */
    public static EntryRef parse(String text) {
        Matcher m = FORMAT.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException(text + " names no entry: an entry is DISPATCHER/LIFE/NUMBER");
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
