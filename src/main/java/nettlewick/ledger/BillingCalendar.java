package nettlewick.ledger;

import java.time.Instant;
import java.time.LocalDate;
import java.time.YearMonth;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The calendar of billing periods: the terms of the settings, each gap between two terms as a period of its own, and
 * calendar months before the first and after the last term. Periods are half-open.
 */
public final class BillingCalendar {
    /** A period from {@code from} (inclusive) to {@code to} (exclusive), in Unix milliseconds. */
    public record Period(String name, double from, double to) {
        boolean contains(double at) {
            return at >= from && at < to;
        }
    }

    /** A term of the settings, from the start of its first day to the start of the day {@code to}. */
    public record Term(String name, LocalDate from, LocalDate to) {}

    private final ZoneId zone;
    private final List<Period> terms = new ArrayList<>();
    /** Cache of the last result, since nearly all lookups are for the present. */
    private volatile Period lastFound;

    /** @throws IllegalArgumentException if terms overlap, are empty, or share a name */
    public BillingCalendar(ZoneId zone, List<Term> given) {
        this.zone = zone;
        for (Term term : given.stream().sorted(Comparator.comparing(Term::from)).toList()) {
            if (!term.from().isBefore(term.to())) {
                throw new IllegalArgumentException("term " + term.name() + " ends before it begins");
            }
            if (terms.stream().anyMatch(p -> p.name().equals(term.name()))) {
                throw new IllegalArgumentException("term " + term.name() + " is defined twice");
            }
            Period next = new Period(term.name(), midnight(term.from()), midnight(term.to()));
            if (!terms.isEmpty()) {
                Period last = terms.get(terms.size() - 1);
                if (next.from() < last.to()) {
                    throw new IllegalArgumentException("terms " + last.name() + " and " + term.name() + " overlap");
                }
                if (next.from() > last.to()) {
                    terms.add(new Period("before-" + term.name(), last.to(), next.from()));
                }
            }
            terms.add(next);
        }
    }

    private double midnight(LocalDate day) {
        return day.atStartOfDay(zone).toInstant().toEpochMilli();
    }

    /** Returns the period that contains a time. */
    public Period periodAt(double timeMillis) {
        Period period = lastFound;
        if (period == null || !period.contains(timeMillis)) {
            period = computePeriod(timeMillis);
            lastFound = period;
        }
        return period;
    }

    private Period computePeriod(double timeMillis) {
        for (Period term : terms) {
            if (term.contains(timeMillis)) {
                return term;
            }
        }
        YearMonth month =
                YearMonth.from(ZonedDateTime.ofInstant(Instant.ofEpochMilli((long) Math.floor(timeMillis)), zone));
        double from = midnight(month.atDay(1));
        double to = midnight(month.plusMonths(1).atDay(1));
        if (!terms.isEmpty() && timeMillis >= terms.get(terms.size() - 1).to()) {
            double last = terms.get(terms.size() - 1).to();
            // The remainder of the month in which the last term ends has the suffix -rest, since the part of the month
            // before the terms may already have the name of the month.
            return last > from ? new Period(month + "-rest", last, to) : new Period(month.toString(), from, to);
        }
        return new Period(
                month.toString(),
                from,
                terms.isEmpty() ? to : Math.min(to, terms.get(0).from()));
    }

    /** Returns the next period. */
    public Period periodAfter(Period period) {
        return periodAt(period.to());
    }

    /** Finds a period by name: a term, or a month such as 2026-11. */
    public Optional<Period> periodNamed(String name) {
        Optional<Period> term =
                terms.stream().filter(p -> p.name().equals(name)).findFirst();
        if (term.isPresent()) {
            return term;
        }
        try {
            boolean rest = name.endsWith("-rest");
            YearMonth month = YearMonth.parse(rest ? name.substring(0, name.length() - 5) : name);
            Period found = periodAt(rest ? midnight(month.plusMonths(1).atDay(1)) - 1 : midnight(month.atDay(1)));
            return found.name().equals(name) ? Optional.of(found) : Optional.empty();
        } catch (java.time.format.DateTimeParseException e) {
            return Optional.empty();
        }
    }

    ZoneId zone() {
        return zone;
    }
}
