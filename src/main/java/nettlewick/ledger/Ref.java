package nettlewick.ledger;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry: its origin, and its place in the origin's chain, from 1 on without holes. */
public record Ref(Origin origin, long number) implements Comparable<Ref> {
    private static final Pattern FORM = Pattern.compile("(.+)/(\\d{1,18})/(\\d{1,18})");

    /** Reads {@code dispatcher/life/number}; IllegalArgumentException for anything else. */
    public static Ref parse(String text) {
        Matcher m = FORM.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException(text + " names no entry: an entry is DISPATCHER/LIFE/NUMBER");
        }
        return new Ref(new Origin(m.group(1), Long.parseLong(m.group(2))), Long.parseLong(m.group(3)));
    }

    @Override
    public int compareTo(Ref other) {
        int order = origin.compareTo(other.origin);
        return order != 0 ? order : Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return origin + "/" + number;
    }
}
