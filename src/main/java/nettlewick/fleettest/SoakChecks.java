package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import nettlewick.fleettest.SoakJournal.Arrival;
import nettlewick.fleettest.SoakJournal.End;
import nettlewick.fleettest.SoakJournal.Entry;
import nettlewick.fleettest.SoakJournal.Incarnation;
import nettlewick.stubs.EndpointModel.Admission;

/** Holds a soak's journal against the rules of the protocol page, from the clients' side alone. Pure. */
final class SoakChecks {
    /** A rule that a request or a process broke. */
    record Break(String rule, Entry request, Incarnation process) {
        @Override
        public String toString() {
            return rule + ": " + (request == null ? "" : request + "; ") + process;
        }
    }

    /** How far past its time an answer may come. */
    static final double LATE_MILLIS = 500;
    /** How long after a request's end, or its client's, an attempt may still begin. */
    static final double AFTER_END_MILLIS = 100;
    /** How much more time than is left an endpoint may be told. */
    static final double TOLD_MILLIS = 150;
    /** What SIGKILL finds unanswered is lost if it came later than this after SIGTERM. */
    static final double EXCUSED_AFTER_TERM_MILLIS = 700;
    /** How long a process may take to be ready. */
    static final double READY_MILLIS = 10_000;
    /** How late SIGKILL may be sent; this is the soak's own doing. */
    static final double KILL_LATE_MILLIS = 50;
    /** By how much all time limits on sockets are longer. */
    private static final double SOCKET_MILLIS = 50;

    private static final int STATUS_OK = 200;
    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final Pattern RETRY_AFTER = Pattern.compile("(?im)^retry-after: *\\d+(\\.\\d+)?\\r?$");

    private final SoakJournal journal;
    private final SoakPlan plan;
    private final double drainGraceMillis;
    private final int maxAttempts;
    private final double loadBeganAt;
    private final List<Break> breaks = new ArrayList<>();
    private int crossings;

    SoakChecks(SoakJournal journal, SoakPlan plan, double drainGraceMillis, int maxAttempts, double loadBeganAt) {
        this.journal = journal;
        this.plan = plan;
        this.drainGraceMillis = drainGraceMillis;
        this.maxAttempts = maxAttempts;
        this.loadBeganAt = loadBeganAt;
    }

    /** All that was broken. */
    List<Break> run() {
        journal.entries().forEach(this::check);
        journal.allIncarnations().forEach(this::check);
        journal.unknownIds().forEach(id -> breaks.add(new Break("an id that no client sent: " + id, null, null)));
        return breaks;
    }

    /** Requests that crossed the end of a resting connection, which their clients send anew. */
    int crossings() {
        return crossings;
    }

    private void check(Entry entry) {
        checkEnd(entry);
        checkForm(entry);
        checkArrivals(entry);
        if (entry.requestClass().name().equals("mark-submit") && entry.runs().size() > 1) {
            add("a non-idempotent request ran twice", entry);
        }
        if (entry.arrivals().size() > maxAttempts) {
            add("more attempts than the cap", entry);
        }
    }

    private void add(String rule, Entry entry) {
        breaks.add(new Break(rule, entry, journal.incarnation(entry.dispatcher(), entry.incarnation())));
    }

    private void checkEnd(Entry entry) {
        switch (entry.end()) {
            case ANSWERED -> {
                if (entry.endedAt() > entry.dueAt() + LATE_MILLIS) {
                    add("a late answer", entry);
                }
            }
            case CUT_OFF -> add("an answer that is cut off", entry);
            case CLOSED -> checkClosed(entry);
            case NONE -> {
                if (!Double.isNaN(entry.sentAt()) && !isExcusedByKill(entry)) {
                    add("no answer", entry);
                }
            }
            default -> {
                // Its client left, or it was never sent whole: no answer is due.
            }
        }
    }

    /** A connection may end between requests, and what crosses that end is sent anew; all else is lost. */
    private void checkClosed(Entry entry) {
        boolean wasForwarded = !entry.arrivals().isEmpty();
        if (isExcusedByKill(entry)) {
            return;
        }
        if (!wasForwarded && (!entry.isFirstOnConnection() || isInCrowd(entry))) {
            crossings++;
        } else {
            add(wasForwarded ? "lost, though it was read" : "lost on a new connection", entry);
        }
    }

    /** Where idle clients fill the descriptors, new connections may be shut unread. */
    private boolean isInCrowd(Entry entry) {
        return plan.crowd() > 0 && plan.crowdSpan().contains(entry.sentAt() - loadBeganAt);
    }

    private boolean isExcusedByKill(Entry entry) {
        Incarnation process = journal.incarnation(entry.dispatcher(), entry.incarnation());
        return !Double.isNaN(process.killedAt())
                && entry.sentAt() <= process.termAt() + EXCUSED_AFTER_TERM_MILLIS
                && process.killedAt() <= entry.dueAt() + LATE_MILLIS;
    }

    private void checkForm(Entry entry) {
        if (entry.end() != End.ANSWERED) {
            return;
        }
        boolean isRejected = entry.status() == STATUS_TOO_MANY || entry.status() == STATUS_UNAVAILABLE;
        if (entry.status() == STATUS_OK
                && (!entry.body().equals("r-" + entry.id()) || entry.runs().isEmpty())) {
            add("a result that no endpoint gave for it", entry);
        }
        if (isRejected && !RETRY_AFTER.matcher(entry.head()).find()) {
            add("a rejection without advice", entry);
        }
        if (isRejected
                && !entry.requestClass().isIdempotent()
                && !entry.requestClass().isKeyed()) {
            Predicate<Arrival> mayRun = a -> a.taken() != Admission.FULL && a.taken() != Admission.DRAINS;
            if (entry.arrivals().stream().anyMatch(mayRun)) {
                add("rejected though it may run", entry);
            }
        }
    }

    private void checkArrivals(Entry entry) {
        boolean hasEnd = entry.end() == End.ANSWERED || entry.end() == End.LEFT;
        for (Arrival arrival : entry.arrivals()) {
            if (hasEnd && arrival.at() > entry.endedAt() + AFTER_END_MILLIS) {
                add(entry.end() == End.LEFT ? "forwarded after its client left" : "forwarded after its end", entry);
            }
            if (arrival.toldMillis() > entry.dueAt() - arrival.at() + TOLD_MILLIS + SOCKET_MILLIS) {
                add("an endpoint is told more time than is left", entry);
            }
            double toldAt = journal.drainToldAt(entry.dispatcher(), arrival.runner());
            if (arrival.at() > toldAt + drainGraceMillis + SOCKET_MILLIS) {
                add("sent to a draining endpoint", entry);
            }
        }
    }

    private void check(Incarnation process) {
        boolean hasEnded = !Double.isNaN(process.exitedAt());
        if (hasEnded && Double.isNaN(process.termAt())) {
            breaks.add(new Break("a process ended by itself", null, process));
        }
        boolean isReadyInTime = process.readyAt() <= process.startedAt() + READY_MILLIS;
        if (!isReadyInTime && Double.isNaN(process.termAt())) {
            breaks.add(new Break("not ready in time", null, process));
        }
        double killLate = process.killedAt() - process.killDueAt();
        if (killLate < 0 || killLate > KILL_LATE_MILLIS) {
            breaks.add(new Break("SIGKILL not sent on time, by the soak", null, process));
        }
    }
}
