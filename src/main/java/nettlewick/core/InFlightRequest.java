package nettlewick.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import nettlewick.core.TimerQueue.ScheduledTask;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;

/**
 * An accepted request, until it has a final answer and the outcome of its last attempt. Owned by the core thread; other
 * threads may call {@link #isAnswered} only.
 */
final class InFlightRequest {
    private static final int INITIAL_ATTEMPT_CAPACITY = 2;

    private final Request request;
    private final RequestClass requestClass;
    private final List<Attempt> attempts = new ArrayList<>(INITIAL_ATTEMPT_CAPACITY);
    /** Whether the request waits for a successor process and the decision module does not know it yet. */
    private boolean held;
    /** Ends the request if it has no final answer in time; null once it has one. */
    private ScheduledTask deadlineTimer;
    /** Volatile because the event loop reads it before it writes an attempt to an endpoint. */
    private volatile boolean answered;

    InFlightRequest(Request request, RequestClass requestClass) {
        this.request = request;
        this.requestClass = requestClass;
    }

    Request request() {
        return request;
    }

    String id() {
        return request.id();
    }

    /** An unmodifiable view of the attempts, in the order of their numbers. */
    List<Attempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** Adds the next attempt, which has not been sent yet. */
    Attempt addAttempt(String endpoint, double nowMillis) {
        Attempt attempt =
                new Attempt(request, attempts.size(), endpoint, nowMillis, latestStartMillis(), () -> !answered);
        attempts.add(attempt);
        return attempt;
    }

    /** Whether the final answer is decided. Thread-safe. */
    boolean isAnswered() {
        return answered;
    }

    boolean isHeld() {
        return held;
    }

    void setHeld(boolean isHeld) {
        held = isHeld;
    }

    /** Sets the timer that checks for a final answer at the deadline; it is cancelled if there is one earlier. */
    void setDeadlineTimer(ScheduledTask timer) {
        deadlineTimer = timer;
    }

    /** Marks the final answer as decided and cancels the deadline timer; returns true for the first call only. */
    boolean markAnswered() {
        boolean first = !answered;
        answered = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
            deadlineTimer = null;
        }
        return first;
    }

    /** Whether rejecting the request carries no risk that a retry repeats its effects. */
    boolean isSafeToReject() {
        return attempts.stream().noneMatch(Attempt::mayHaveRun) || isIdempotent();
    }

    /** Whether the request may run more than once without harm. */
    boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /**
     * The latest start time of another attempt: the deadline or, for keyed requests, the end of the deduplication
     * window if earlier. The window starts when the first attempt that may have run was sent.
     */
    private double latestStartMillis() {
        if (requestClass.idempotency() == Idempotency.KEYED) {
            for (Attempt attempt : attempts) {
                if (attempt.mayHaveRun()) {
                    double windowEnd = attempt.sentAtMillis() + ModuleTime.toMillis(requestClass.dedupWindowNanos());
                    return Math.min(request.deadlineMillis(), windowEnd);
                }
            }
        }
        return request.deadlineMillis();
    }

    boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(a -> !a.isEnded());
    }
}
