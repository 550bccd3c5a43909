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
 * The type of one argument of a keyword.
 *
 * @param name        the placeholder in the settings reference
 * @param expectation the valid words, in error messages; completes "KEYWORD is VALUE, but has to be"
 * @param parser      parses a word; returns null or throws any unchecked exception if the word is invalid
 */
public record ValueType<T>(String name, String expectation, Function<String, T> parser) {
    private static final Pattern NUMBER_WITH_UNIT = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,9})?)([a-z]*)");

    /** The value of a word, or null if the word is invalid. */
    T parse(String word) {
        try {
            return parser.apply(word);
        } catch (RuntimeException e) {
            return null;
        }
    }

    /** Any non-empty text. */
    public static ValueType<String> text(String name) {
        return new ValueType<>(name, "a non-empty text", word -> word.isEmpty() ? null : word);
    }

    /** A name of letters, digits, dots, dashes and underscores. */
    public static ValueType<String> identifier(String name) {
        return new ValueType<>(
                name,
                "a name of at most 64 letters, digits, '.', '-' and '_'",
                word -> word.matches("[A-Za-z0-9._-]{1,64}") ? word : null);
    }

    /** Exactly this word. */
    public static ValueType<String> literal(String literal) {
        return new ValueType<>(literal, literal, word -> word.equals(literal) ? word : null);
    }

    /** One of these words. */
    public static ValueType<String> choice(String... words) {
        List<String> choices = List.of(words);
        return new ValueType<>(
                String.join("|", choices),
                "one of " + String.join(", ", choices),
                word -> choices.contains(word) ? word : null);
    }

    /** {@code yes} or {@code no}. */
    public static ValueType<Boolean> flag() {
        return new ValueType<>(
                "yes|no",
                "yes or no",
                word -> word.equals("yes") ? Boolean.TRUE : word.equals("no") ? Boolean.FALSE : null);
    }

    /** An integer within inclusive bounds. */
    public static ValueType<Long> wholeNumber(long min, long max) {
        return new ValueType<>("NUMBER", "a whole number from " + min + " to " + max, word -> {
            long value = Long.parseLong(word);
            return value >= min && value <= max ? value : null;
        });
    }

    /** A duration such as 250ms, 15s, 10m, 24h or 7d, in milliseconds like the inclusive bounds. */
    public static ValueType<Double> duration(double min, double max) {
        return new ValueType<>(
                "SPAN",
                "a duration with its unit (ms, s, m, h, d) from " + formatDuration(min) + " to " + formatDuration(max),
                word -> {
                    Matcher matcher = NUMBER_WITH_UNIT.matcher(word);
                    double unit = !matcher.matches()
                            ? 0
                            : switch (matcher.group(2)) {
                                case "ms" -> 1;
                                case "s" -> 1e3;
                                case "m" -> 6e4;
                                case "h" -> 3.6e6;
                                case "d" -> 8.64e7;
                                default -> 0;
                            };
                    double value = unit == 0 ? -1 : Double.parseDouble(matcher.group(1)) * unit;
                    return value >= min && value <= max ? value : null;
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
        return new ValueType<>("PERCENT", "a percentage such as 20%", word -> {
            double value = word.endsWith("%") ? Double.parseDouble(word.substring(0, word.length() - 1)) : -1;
            return value >= 0 && value <= 100 ? value / 100 : null;
        });
    }

    /** A size in bytes such as 512, 64k, 16m or 2g (powers of 1,024). */
    public static ValueType<Long> byteSize(long min, long max) {
        return new ValueType<>("SIZE", "a size in bytes, or with unit k, m or g, from " + min + " to " + max, word -> {
            Matcher matcher = NUMBER_WITH_UNIT.matcher(word);
            int shift = !matcher.matches() || matcher.group(1).contains(".")
                    ? -1
                    : switch (matcher.group(2)) {
                        case "" -> 0;
                        case "k" -> 10;
                        case "m" -> 20;
                        case "g" -> 30;
                        default -> -1;
                    };
            long value = shift < 0 ? -1 : Math.multiplyExact(Long.parseLong(matcher.group(1)), 1L << shift);
            return value >= min && value <= max ? value : null;
        });
    }

    /** An IP address and a port. Host names are rejected, because resolving them would need DNS. */
    public static ValueType<InetSocketAddress> address() {
        return new ValueType<>("ADDRESS", "an IP address and a port", word -> {
            int colon = word.lastIndexOf(':');
            String host = word.substring(0, colon);
            boolean isIpv6 = host.startsWith("[") && host.endsWith("]") && host.contains(":");
            if (!isIpv6 && !host.matches("(\\d{1,3}\\.){3}\\d{1,3}")) {
                return null;
            }
            try {
                return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(word.substring(colon + 1)));
            } catch (UnknownHostException e) {
                return null;
            }
        });
    }

    /** A path of a file or directory, which need not exist. */
    public static ValueType<Path> path() {
        return new ValueType<>("FILE", "a path", word -> word.isEmpty() ? null : Path.of(word));
    }

    /** A date in ISO 8601 format. */
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
