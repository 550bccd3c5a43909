package nettlewick.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The type of one word of a setting.
 *
 * @param name   as the reference page names it
 * @param wanted what a word has to be; ends the sentence "... has to be"
 * @param reader the value of a word; null or any unchecked exception for words that have none
 */
public record ValueType<T>(String name, String expectation, Function<String, T> parser) {
    private static final Pattern UNIT = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,9})?)([a-z]*)");

    /** The value of a word, or null where it is none. */
    T parse(String word) {
        try {
            return parser.apply(word);
        } catch (RuntimeException e) {
            return null;
        }
    }

    /** Any text that is not empty. */
    public static ValueType<String> text(String name) {
        return new ValueType<>(name, "a text", word -> word.isEmpty() ? null : word);
    }

    /** A name: letters, digits, dot, dash and underscore. */
    public static ValueType<String> identifier(String name) {
        return new ValueType<>(
                name,
                "a name of letters, digits, '.', '-' and '_', 64 at most",
                word -> word.matches("[A-Za-z0-9._-]{1,64}") ? word : null);
    }

    /** This word and no other. */
    public static ValueType<String> literal(String only) {
        return new ValueType<>(only, only, word -> word.equals(only) ? word : null);
    }

    /** One of these words. */
    public static ValueType<String> choice(String... words) {
        List<String> all = List.of(words);
        return new ValueType<>(
                String.join("|", all), "one of " + String.join(", ", all), word -> all.contains(word) ? word : null);
    }

    /** Yes or no. */
    public static ValueType<Boolean> flag() {
        return new ValueType<>(
                "yes|no",
                "yes or no",
                word -> word.equals("yes") ? Boolean.TRUE : word.equals("no") ? Boolean.FALSE : null);
    }

    /** A whole number within bounds, both included. */
    public static ValueType<Long> wholeNumber(long least, long most) {
        return new ValueType<>("NUMBER", "a whole number from " + least + " to " + most, word -> {
            long value = Long.parseLong(word);
            return value >= least && value <= most ? value : null;
        });
    }

    /** A time span such as 250ms, 15s, 10m, 24h or 7d, as milliseconds; the bounds are milliseconds too. */
    public static ValueType<Double> duration(double least, double most) {
        return new ValueType<>(
                "SPAN",
                "a time with its unit (ms, s, m, h, d) from " + formatDuration(least) + " to " + formatDuration(most),
                word -> {
                    Matcher m = UNIT.matcher(word);
                    double unit = !m.matches()
                            ? 0
                            : switch (m.group(2)) {
                                case "ms" -> 1;
                                case "s" -> 1e3;
                                case "m" -> 6e4;
                                case "h" -> 3.6e6;
                                case "d" -> 8.64e7;
                                default -> 0;
                            };
                    double value = unit == 0 ? -1 : Double.parseDouble(m.group(1)) * unit;
                    return value >= least && value <= most ? value : null;
                });
    }

    static String formatDuration(double millis) {
        return millis % 8.64e7 == 0 && millis > 0
                ? (long) (millis / 8.64e7) + "d"
                : millis % 3.6e6 == 0 && millis > 0
                        ? (long) (millis / 3.6e6) + "h"
                        : millis % 1000 == 0 ? (long) (millis / 1000) + "s" : (long) millis + "ms";
    }

    /** A percentage such as 20%, as a number from 0 to 1. */
    public static ValueType<Double> percent() {
        return new ValueType<>("PERCENT", "a part such as 20%", word -> {
            double value = word.endsWith("%") ? Double.parseDouble(word.substring(0, word.length() - 1)) : -1;
            return value >= 0 && value <= 100 ? value / 100 : null;
        });
    }

    /** A number of bytes: 512, 64k, 16m, 2g (powers of 1,024). */
    public static ValueType<Long> byteSize(long least, long most) {
        return new ValueType<>("SIZE", "a size in bytes, or with k, m or g, from " + least + " to " + most, word -> {
            Matcher m = UNIT.matcher(word);
            int shift = !m.matches() || m.group(1).contains(".")
                    ? -1
                    : switch (m.group(2)) {
                        case "" -> 0;
                        case "k" -> 10;
                        case "m" -> 20;
                        case "g" -> 30;
                        default -> -1;
                    };
            long value = shift < 0 ? -1 : Math.multiplyExact(Long.parseLong(m.group(1)), 1L << shift);
            return value >= least && value <= most ? value : null;
        });
    }

    /** An IP address and a port. Host names are refused, since they would need DNS. */
    public static ValueType<InetSocketAddress> address() {
        return new ValueType<>("ADDRESS", "an IP address and a port", word -> {
            int colon = word.lastIndexOf(':');
            String host = word.substring(0, colon);
            boolean six = host.startsWith("[") && host.endsWith("]") && host.contains(":");
            if (!six && !host.matches("(\\d{1,3}\\.){3}\\d{1,3}")) {
                return null;
            }
            try {
                return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(word.substring(colon + 1)));
            } catch (UnknownHostException e) {
                return null;
            }
        });
    }

    /** A path of a file or folder, which need not exist. */
    public static ValueType<Path> path() {
        return new ValueType<>("FILE", "a path", word -> word.isEmpty() ? null : Path.of(word));
    }

    /** A date in ISO form. */
    public static ValueType<LocalDate> date() {
        return new ValueType<>("DATE", "a date such as 2026-09-01", LocalDate::parse);
    }

    /** A time zone by its ID. */
    public static ValueType<ZoneId> timeZone() {
        return new ValueType<>("ZONE", "a time zone such as Indian/Mauritius or UTC", ZoneId::of);
    }

    /** An http URL. */
    public static ValueType<URI> url() {
        return new ValueType<>("URL", "a URL such as http://127.0.0.1:9000/batches", word -> {
            URI uri = URI.create(word);
            return "http".equals(uri.getScheme()) && uri.getHost() != null ? uri : null;
        });
    }

    /** A log level. */
    public static ValueType<String> logLevel() {
        return choice("error", "warning", "info", "debug", "off");
    }

    static String quoteIfNeeded(String word) {
        return word.matches("[^\\s\"#{}\\\\]+")
                ? word
                : '"'
                        + word.replace("\\", "\\\\")
                                .replace("\"", "\\\"")
                                .replace("\n", "\\n")
                                .replace("\t", "\\t")
                        + '"';
    }
}
