package nettlewick.waiting;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Pattern;
import nettlewick.waiting.Plan.OnFailure;

/**
 * What a request's headers ask for beyond an ordinary job; times in milliseconds on the one clock.
 *
 * @param name      its own, or null
 * @param after     the names that it comes after
 * @param notBefore when it may start at the earliest; 0 for at once
 * @param window    how long after that its start may be spread
 * @param until     when it stops waiting
 */
public record Wish(
        String name, List<String> after, double notBefore, double window, double until, OnFailure onFailure) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:-]{1,64}");
    private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,6})?");
    private static final double SECOND = 1000;
    private static final String[] HEADERS = {
        "X-Job-Name", "X-After", "X-Not-Before", "X-Window", "X-Wait", "X-On-Failure"
    };

    /** A header that is not in order, in one line; the status is 400. */
    public static final class Mistake extends Exception {
        private static final long serialVersionUID = 1;

        Mistake(String message) {
            super(message);
        }
    }

    /**
     * Reads the headers.
     *
     * @param headers all values of the header of that name
     * @param now     on the one clock
     * @param wall Unix time now as the machine tells it: a time of day is meant on this, and is turned into
     * the
     *                one clock here, so that a later step of the wall clock moves no start
     * @param wait    how long a job waits that does not say
     * @return null for an ordinary job
     */
    public static Wish read(Function<String, List<String>> headers, double now, double wall, double wait)
            throws Mistake {
        boolean any = false;
        for (String header : HEADERS) {
            List<String> values = headers.apply(header);
            if (values.size() > 1) {
                throw new Mistake(header + " stands there more than once");
            }
            any |= !values.isEmpty();
        }
        if (!any) {
            return null;
        }
        String name = one(headers, "X-Job-Name");
        if (name != null && !NAME.matcher(name).matches()) {
            throw new Mistake("X-Job-Name is not a name of letters, digits, '.', '_', ':' and '-', 64 at " + "most");
        }
        List<String> after = after(one(headers, "X-After"));
        if (name != null && after.contains(name)) {
            throw new Mistake("X-After names the job itself");
        }
        String start = one(headers, "X-Not-Before");
        double notBefore = start == null ? 0 : start(start, now, wall);
        String spread = one(headers, "X-Window");
        if (spread != null && start == null) {
            throw new Mistake("X-Window needs X-Not-Before");
        }
        String policy = one(headers, "X-On-Failure");
        if (policy != null && after.isEmpty()) {
            throw new Mistake("X-On-Failure needs X-After");
        }
        String longest = one(headers, "X-Wait");
        double until = now + (longest == null ? wait : seconds("X-Wait", longest));
        double window = spread == null ? 0 : seconds("X-Window", spread);
        if (until <= now) {
            throw new Mistake("X-Wait is not above 0");
        }
        if (notBefore + window >= until) {
            throw new Mistake("X-Not-Before with its X-Window lies beyond X-Wait");
        }
        return new Wish(name, after, notBefore, window, until, policy(policy));
    }

    private static String one(Function<String, List<String>> headers, String header) {
        List<String> values = headers.apply(header);
        return values.isEmpty() ? null : values.get(0).strip();
    }

    private static List<String> after(String text) throws Mistake {
        List<String> names = new ArrayList<>();
        if (text == null) {
            return names;
        }
        for (String word : text.split(",", -1)) {
            String name = word.strip();
            if (!NAME.matcher(name).matches()) {
                throw new Mistake("X-After holds what is no name: names are parted by commas");
            }
            if (names.contains(name)) {
                throw new Mistake("X-After names " + name + " twice");
            }
            names.add(name);
        }
        return names;
    }

    private static double start(String text, double now, double wall) throws Mistake {
        if (text.startsWith("+")) {
            return now + seconds("X-Not-Before", text.substring(1));
        }
        try {
            return Math.max(0, now + (OffsetDateTime.parse(text).toInstant().toEpochMilli() - wall));
        } catch (DateTimeException e) {
            throw new Mistake(
                    "X-Not-Before is neither a time such as 2026-12-01T09:00:00+04:00 nor + and " + "seconds");
        }
    }

    private static double seconds(String header, String text) throws Mistake {
        if (!SECONDS.matcher(text).matches()) {
            throw new Mistake(header + " is not a number of seconds");
        }
        return Double.parseDouble(text) * SECOND;
    }

    private static OnFailure policy(String text) throws Mistake {
        if (text == null) {
            return OnFailure.FAIL;
        }
        for (OnFailure policy : OnFailure.values()) {
            if (policy.name().toLowerCase(Locale.ROOT).equals(text)) {
                return policy;
            }
        }
        throw new Mistake("X-On-Failure is not one of fail, run and skip");
    }
}
