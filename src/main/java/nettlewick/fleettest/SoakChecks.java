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

/**
 * Checks a soak's journal against the rules of the protocol page, as clients and endpoints saw them. Performs no I/O.
 */
final class SoakChecks {
    /** A rule that a request or a process violated. */
    record Violation(String rule, Entry request, Incarnation process) {
        @Override
        public String toString() {
            return rule + ": " + (request == null ? "" : request + "; ") + process;
        }
    }

    /** How long after its deadline an answer may arrive. */
    static final double LATE_ANSWER_TOLERANCE_MILLIS = 500;
    /** How long after its answer, or after its client disconnected, a request may still be forwarded. */
    static final double ATTEMPT_AFTER_END_TOLERANCE_MILLIS = 100;
    /** By how much the deadline that an endpoint is given may exceed the remaining time. */
    static final double TOLD_TIME_TOLERANCE_MILLIS = 150;
    /** SIGKILL may leave requests unanswered that were sent up to this time after SIGTERM; later ones count as lost. */
    static final double EXEMPT_AFTER_TERM_MILLIS = 700;

    static final double READY_TIMEOUT_MILLIS = 10_000;
    /** How late the soak itself may send SIGKILL. */
    static final double MAX_KILL_DELAY_MILLIS = 50;
    /** Added to all time limits that are observed through sockets. */
    private static final double SOCKET_TOLERANCE_MILLIS = 50;

    private static final int STATUS_OK = 200;
    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final Pattern RETRY_AFTER = Pattern.compile("(?im)^retry-after: *\\d+(\\.\\d+)?\\r?$");

    private final SoakJournal journal;
    private final SoakPlan plan;
    private final double drainGraceMillis;
    private final int maxAttempts;
    private final double loadBeganAt;
    private final List<Violation> violations = new ArrayList<>();
    private int requestsOnClosedConnections;

    SoakChecks(SoakJournal journal, SoakPlan plan, double drainGraceMillis, int maxAttempts, double loadBeganAt) {
        this.journal = journal;
        this.plan = plan;
        this.drainGraceMillis = drainGraceMillis;
        this.maxAttempts = maxAttempts;
        this.loadBeganAt = loadBeganAt;
    }

    /** Returns all violations. */
    List<Violation> run() {
        journal.entries().forEach(this::check);
        journal.allIncarnations().forEach(this::check);
        journal.unknownIds()
                .forEach(id -> violations.add(new Violation("a request id that no client sent: " + id, null, null)));
        return violations;
    }

    /**
     * Returns the number of requests that were sent while their idle connection was being closed; clients resend
     * them.
     */
    int requestsOnClosedConnections() {
        return requestsOnClosedConnections;
    }

    private void check(Entry entry) {
        checkEnd(entry);
        checkAnswer(entry);
        checkArrivals(entry);
        if (entry.requestClass().name().equals("mark-submit") && entry.runs().size() > 1) {
            addViolation("a non-idempotent request ran twice", entry);
        }
        if (entry.arrivals().size() > maxAttempts) {
            addViolation("more attempts than the cap", entry);
        }
    }

    private void addViolation(String rule, Entry entry) {
        violations.add(new Violation(rule, entry, journal.incarnation(entry.dispatcher(), entry.incarnation())));
    }

    private void checkEnd(Entry entry) {
        switch (entry.end()) {
            case ANSWERED -> {
                if (entry.endedAt() > entry.dueAt() + LATE_ANSWER_TOLERANCE_MILLIS) {
                    addViolation("a late answer", entry);
                }
            }
            case CUT_OFF -> addViolation("a truncated answer", entry);
            case CLOSED -> checkClosed(entry);
            case NONE -> {
                if (!Double.isNaN(entry.sentAt()) && !isExemptByKill(entry)) {
                    addViolation("no answer", entry);
                }
            }
            default -> {
                // No answer is due: the client disconnected, or the request was not sent completely.
            }
        }
    }

    /**
     * An idle connection may be closed while a request is being sent, which clients resend; any other request without
     * an answer is lost.
     */
    private void checkClosed(Entry entry) {
        boolean wasForwarded = !entry.arrivals().isEmpty();
        if (isExemptByKill(entry)) {
            return;
        }
        if (!wasForwarded && (!entry.isFirstOnConnection() || isDuringIdleConnections(entry))) {
            requestsOnClosedConnections++;
        } else {
            addViolation(wasForwarded ? "lost after it was forwarded" : "lost on a new connection", entry);
        }
    }

    /** While idle clients exhaust the descriptors, new connections may be closed unread. */
    private boolean isDuringIdleConnections(Entry entry) {
        return plan.idleConnections() > 0 && plan.idleConnectionsSpan().contains(entry.sentAt() - loadBeganAt);
    }

    private boolean isExemptByKill(Entry entry) {
        Incarnation process = journal.incarnation(entry.dispatcher(), entry.incarnation());
        return !Double.isNaN(process.killedAt())
                && entry.sentAt() <= process.termAt() + EXEMPT_AFTER_TERM_MILLIS
                && process.killedAt() <= entry.dueAt() + LATE_ANSWER_TOLERANCE_MILLIS;
    }

    private void checkAnswer(Entry entry) {
        if (entry.end() != End.ANSWERED) {
            return;
        }
        boolean isRejected = entry.status() == STATUS_TOO_MANY || entry.status() == STATUS_UNAVAILABLE;
        if (entry.status() == STATUS_OK
                && (!entry.body().equals("r-" + entry.id()) || entry.runs().isEmpty())) {
            addViolation("a result that no endpoint returned", entry);
        }
        if (isRejected && !RETRY_AFTER.matcher(entry.head()).find()) {
            addViolation("a rejection without Retry-After", entry);
        }
        if (isRejected
                && !entry.requestClass().isIdempotent()
                && !entry.requestClass().isKeyed()) {
            Predicate<Arrival> mayRun = a -> a.admission() != Admission.FULL && a.admission() != Admission.DRAINS;
            if (entry.arrivals().stream().anyMatch(mayRun)) {
                addViolation("rejected though it may have run", entry);
            }
        }
    }

    private void checkArrivals(Entry entry) {
        boolean hasEnd = entry.end() == End.ANSWERED || entry.end() == End.DISCONNECTED;
        for (Arrival arrival : entry.arrivals()) {
            if (hasEnd && arrival.at() > entry.endedAt() + ATTEMPT_AFTER_END_TOLERANCE_MILLIS) {
                addViolation(
                        entry.end() == End.DISCONNECTED
                                ? "forwarded after its client disconnected"
                                : "forwarded after its answer",
                        entry);
            }
            if (arrival.remainingMillis()
                    > entry.dueAt() - arrival.at() + TOLD_TIME_TOLERANCE_MILLIS + SOCKET_TOLERANCE_MILLIS) {
                addViolation("an endpoint was given more time than is left", entry);
            }
            double toldAt = journal.drainToldAt(entry.dispatcher(), arrival.endpoint());
            if (arrival.at() > toldAt + drainGraceMillis + SOCKET_TOLERANCE_MILLIS) {
                addViolation("forwarded to a draining endpoint", entry);
            }
        }
    }

    private void check(Incarnation process) {
        boolean hasEnded = !Double.isNaN(process.exitedAt());
        if (hasEnded && Double.isNaN(process.termAt())) {
            violations.add(new Violation("a process exited without a signal", null, process));
        }
        boolean isReadyInTime = process.readyAt() <= process.startedAt() + READY_TIMEOUT_MILLIS;
        if (!isReadyInTime && Double.isNaN(process.termAt())) {
            violations.add(new Violation("a process was not ready in time", null, process));
        }
        double killLate = process.killedAt() - process.killDueAt();
        if (killLate < 0 || killLate > MAX_KILL_DELAY_MILLIS) {
            violations.add(new Violation("the soak did not send SIGKILL on time", null, process));
        }
    }
}
