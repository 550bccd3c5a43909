package nettlewick.net.format;

import java.util.HashMap;
import java.util.Map;

/** Reads lists of numbers written as {@code name=value,name=value}. */
public final class NamedNumbers {
    private NamedNumbers() {}

    /** The finite numbers of such a list by name; a pair that cannot be read is left out. */
    public static Map<String, Double> parse(String text) {
        Map<String, Double> values = new HashMap<>();
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                try {
                    values.put(
                            pair.substring(0, equals).strip(),
                            Double.valueOf(pair.substring(equals + 1).strip()));
                } catch (NumberFormatException ignored) {
                    // An unreadable value does not invalidate the others.
                }
            }
        }
        values.values().removeIf(v -> !Double.isFinite(v));
        return values;
    }
}
