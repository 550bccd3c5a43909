package nettlewick.decision;

import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.Scope;

/** Which further attempts a request's class, its time and the site's limits allow. */
final class RetryPolicy {
    private final Limits limits;
    private final SchedulerClock clock;
    private final EndpointPools pools;
    private final LatencyEstimator latency;

    RetryPolicy(Limits limits, SchedulerClock clock, EndpointPools pools, LatencyEstimator latency) {
        this.limits = limits;
        this.clock = clock;
        this.pools = pools;
        this.latency = latency;
    }

    /** Whether one more attempt is allowed now, and an answer would still have a value. */
    boolean mayRetry(ScheduledRequest request) {
        boolean hasNoValue = request.requestClass().latePriorityWeight() <= 0 && latency.isPastObjective(request);
        return !hasNoValue && isWithinLimits(request) && mayRunAgain(request);
    }

    private boolean isWithinLimits(ScheduledRequest request) {
        int maxInFlight = limits.allowsHedging() ? 1 : 0;
        return request.attemptCount() < limits.maxAttempts()
                && clock.now() < request.deadline()
                && request.inFlightAttempts() <= maxInFlight;
    }

    /** Whether running the request once more has no effect that its class forbids. */
    private boolean mayRunAgain(ScheduledRequest request) {
        Attempt firstExecuted = request.firstPossiblyExecutedAttempt();
        return firstExecuted == null
                || request.idempotency() == Idempotency.IDEMPOTENT
                || request.idempotency() == Idempotency.KEYED
                        && clock.now() - firstExecuted.sentAt()
                                <= request.requestClass().dedupWindowNanos();
    }

    /** Whether a further attempt may go to an endpoint without room: such attempts multiply under overload. */
    boolean mayQueue(ScheduledRequest request) {
        return !pools.isConfined(request)
                && request.inFlightAttempts() == 0
                && (request.attemptCount() <= 1 || latency.isHighValue(request));
    }

    /** Whether the client may send the request again without harm, so that a rejection is a truthful answer. */
    static boolean isSafeToReject(ScheduledRequest request) {
        return request.firstPossiblyExecutedAttempt() == null
                || request.idempotency() == Idempotency.IDEMPOTENT
                || request.idempotency() == Idempotency.KEYED
                        && request.requestClass().dedupScope() == Scope.ALL;
    }
}
