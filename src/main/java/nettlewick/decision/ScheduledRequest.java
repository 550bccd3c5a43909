package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** A client's request, kept until its final answer and the outcomes of all its attempts. */
final class ScheduledRequest {
    private static final double MIN_SLOTS = 1e-3;

    private final Arrival arrival;
    private final RequestClass requestClass;
    private final int classIndex;
    private final TenantCredit tenantCredit;
    private final long arrivedAt;
    private final long deadline;
    private final double cost;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
    private boolean isAnswered;
    private boolean isStreaming;

    ScheduledRequest(Arrival arrival, RequestClass requestClass, int classIndex, TenantCredit credit, long now) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.classIndex = classIndex;
        tenantCredit = credit;
        arrivedAt = now;
        deadline = now + arrival.remainingNanos();
        cost = arrival.slots() * (hasCostHint() ? arrival.costHintNanos() / 1e9 : 1);
    }

    String id() {
        return arrival.id();
    }

    Arrival arrival() {
        return arrival;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    /** The index of its class in the settings. */
    int classIndex() {
        return classIndex;
    }

    Idempotency idempotency() {
        return requestClass.idempotency();
    }

    TenantCredit tenantCredit() {
        return tenantCredit;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    long deadline() {
        return deadline;
    }

    /** Expected work in slot-seconds; a request without a cost hint counts as one second of run time. */
    double cost() {
        return cost;
    }

    boolean hasCostHint() {
        return arrival.costHintNanos() > 0;
    }

    boolean hasKey() {
        return arrival.key() != null;
    }

    /** Priority weight for each slot that the request occupies. */
    double priorityPerSlot() {
        return requestClass.priorityWeight() / Math.max(arrival.slots(), MIN_SLOTS);
    }

    /** Adds a new attempt at {@code endpoint}. */
    Attempt addAttempt(Endpoint endpoint, long now) {
        Attempt attempt = new Attempt(this, endpoint, attempts.size(), now);
        attempts.add(attempt);
        return attempt;
    }

    /** A read-only view of all attempts, in the order of dispatch. */
    List<Attempt> attempts() {
        return attemptsView;
    }

    int attemptCount() {
        return attempts.size();
    }

    /** The attempt with this number, or null. */
    Attempt attempt(int number) {
        return number < 0 || number >= attempts.size() ? null : attempts.get(number);
    }

    int inFlightAttempts() {
        int count = 0;
        for (Attempt attempt : attempts) {
            count += attempt.hasEnded() ? 0 : 1;
        }
        return count;
    }

    boolean wasSentTo(Endpoint endpoint) {
        for (Attempt attempt : attempts) {
            if (attempt.endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that ran, may have run or may still run; or null. */
    Attempt firstPossiblyExecutedAttempt() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return attempt;
            }
        }
        return null;
    }

    /** Records that the request has its final answer, after which it gets no more attempts. */
    void markAnswered() {
        isAnswered = true;
    }

    boolean isAnswered() {
        return isAnswered;
    }

    /** Records that an attempt streams its answer, after which no other attempt may answer. */
    void markStreaming() {
        isStreaming = true;
    }

    boolean isStreaming() {
        return isStreaming;
    }
}
