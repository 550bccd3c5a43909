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
 * The calendar of billing periods. Terms come from the settings; time between two terms is a period of its
 * own,
 * and before the first and after the last one it is billed by calendar month. Periods are half-open.
 */
public final class BillingCalendar {
    /** From {@code from} on, before {@code to}; Unix milliseconds. */
    public record Period(String name, double from, double to) {
        boolean contains(double at) {
            return at >= from && at < to;
        }
    }

    /** A term as the settings give it: the first day's midnight to the last one's. */
    public record Term(String name, LocalDate from, LocalDate to) {}

    private final ZoneId zone;
    private final List<Period> terms = new ArrayList<>();
    /** The one found last: nearly all questions are about the present. */
    private volatile Period lastFound;

    /** IllegalArgumentException where terms overlap, are empty, or share a name. */
    public BillingCalendar(ZoneId zone, List<Term> given) {
        this.zone = zone;
        for (Term term : given.stream().sorted(Comparator.comparing(Term::from)).toList()) {
            if (!term.from().isBefore(term.to())) {
                throw new IllegalArgumentException("term " + term.name() + " ends before it begins");
            }
            if (terms.stream().anyMatch(p -> p.name().equals(term.name()))) {
                throw new IllegalArgumentException("term " + term.name() + " is there twice");
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

    /** The period that a time belongs to. */
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
            // The rest of a month in which the last term ends; its first part may be a month's name already.
            return last > from ? new Period(month + "-rest", last, to) : new Period(month.toString(), from, to);
        }
        return new Period(
                month.toString(),
                from,
                terms.isEmpty() ? to : Math.min(to, terms.get(0).from()));
    }

    /** The period that follows. */
    public Period periodAfter(Period period) {
        return periodAt(period.to());
    }

    /** The period of a name: a term's, or a month's such as 2026-11. */
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
