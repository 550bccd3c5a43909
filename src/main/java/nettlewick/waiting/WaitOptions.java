package nettlewick.waiting;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Pattern;
import nettlewick.waiting.DependencyTracker.OnFailure;

/**
 * The options of a request that is to wait, as given in its headers; times in milliseconds of the internal clock.
 *
 * @param name         the request's own name, or null
 * @param predecessors the names of the requests that have to finish first
 * @param notBefore    the earliest start; 0 for at once
 * @param startWindow  the time after that over which starts may be spread
 * @param waitUntil    when it stops waiting
 */
public record WaitOptions(
        String name,
        List<String> predecessors,
        double notBefore,
        double startWindow,
        double waitUntil,
        OnFailure onFailure) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:-]{1,64}");
    private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,6})?");
    private static final double MILLIS_PER_SECOND = 1000;
    private static final String[] HEADERS = {
        "X-Job-Name", "X-After", "X-Not-Before", "X-Window", "X-Wait", "X-On-Failure"
    };

    /** A header is invalid. The message is one line, for a response with status 400. */
    public static final class InvalidHeaderException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidHeaderException(String message) {
            super(message);
        }
    }

    /**
     * Parses the headers.
     *
     * @param headers           returns all values of a header
     * @param now               the time of the internal clock
     * @param wallClockMillis   Unix time now. A time of day in a header refers to it and is converted to the internal
     *                          clock here, so that a later step of the wall clock moves no start.
     * @param defaultWaitMillis how long a request waits that does not give a limit
     * @return null for an ordinary request
     */
    public static WaitOptions parse(
            Function<String, List<String>> headers, double now, double wallClockMillis, double defaultWaitMillis)
            throws InvalidHeaderException {
        boolean anyPresent = false;
        for (String header : HEADERS) {
            List<String> values = headers.apply(header);
            if (values.size() > 1) {
                throw new InvalidHeaderException(header + " is given more than once");
            }
            anyPresent |= !values.isEmpty();
        }
        if (!anyPresent) {
            return null;
        }
        String name = singleValue(headers, "X-Job-Name");
        if (name != null && !NAME.matcher(name).matches()) {
            throw new InvalidHeaderException(
                    "X-Job-Name is not a name of at most 64 letters, digits, '.', '_', ':' and '-'");
        }
        List<String> predecessors = predecessors(singleValue(headers, "X-After"));
        if (name != null && predecessors.contains(name)) {
            throw new InvalidHeaderException("X-After names the job itself");
        }
        String start = singleValue(headers, "X-Not-Before");
        double notBefore = start == null ? 0 : parseStart(start, now, wallClockMillis);
        String spread = singleValue(headers, "X-Window");
        if (spread != null && start == null) {
            throw new InvalidHeaderException("X-Window needs X-Not-Before");
        }
        String policy = singleValue(headers, "X-On-Failure");
        if (policy != null && predecessors.isEmpty()) {
            throw new InvalidHeaderException("X-On-Failure needs X-After");
        }
        String longest = singleValue(headers, "X-Wait");
        double waitUntil = now + (longest == null ? defaultWaitMillis : parseSeconds("X-Wait", longest));
        double startWindow = spread == null ? 0 : parseSeconds("X-Window", spread);
        if (waitUntil <= now) {
            throw new InvalidHeaderException("X-Wait is not above 0");
        }
        if (notBefore + startWindow >= waitUntil) {
            throw new InvalidHeaderException("X-Not-Before plus X-Window is beyond X-Wait");
        }
        return new WaitOptions(name, predecessors, notBefore, startWindow, waitUntil, parseOnFailure(policy));
    }

    private static String singleValue(Function<String, List<String>> headers, String header) {
        List<String> values = headers.apply(header);
        return values.isEmpty() ? null : values.get(0).strip();
    }

    private static List<String> predecessors(String text) throws InvalidHeaderException {
        List<String> names = new ArrayList<>();
        if (text == null) {
            return names;
        }
        for (String word : text.split(",", -1)) {
            String name = word.strip();
            if (!NAME.matcher(name).matches()) {
                throw new InvalidHeaderException("X-After contains an invalid name; names are separated by commas");
            }
            if (names.contains(name)) {
                throw new InvalidHeaderException("X-After names " + name + " twice");
            }
            names.add(name);
        }
        return names;
    }

    private static double parseStart(String text, double now, double wallClockMillis) throws InvalidHeaderException {
        if (text.startsWith("+")) {
            return now + parseSeconds("X-Not-Before", text.substring(1));
        }
        try {
            return Math.max(0, now + (OffsetDateTime.parse(text).toInstant().toEpochMilli() - wallClockMillis));
        } catch (DateTimeException e) {
            throw new InvalidHeaderException(
                    "X-Not-Before is neither a time such as 2026-12-01T09:00:00+04:00 nor '+' and seconds");
        }
    }

    private static double parseSeconds(String header, String text) throws InvalidHeaderException {
        if (!SECONDS.matcher(text).matches()) {
            throw new InvalidHeaderException(header + " is not a number of seconds");
        }
        return Double.parseDouble(text) * MILLIS_PER_SECOND;
    }

    private static OnFailure parseOnFailure(String text) throws InvalidHeaderException {
        if (text == null) {
            return OnFailure.FAIL;
        }
        for (OnFailure policy : OnFailure.values()) {
            if (policy.name().toLowerCase(Locale.ROOT).equals(text)) {
                return policy;
            }
        }
        throw new InvalidHeaderException("X-On-Failure is not one of fail, run and skip");
    }
}
