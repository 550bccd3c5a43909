package nettlewick.decision;

import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.Scope;

/** Decides whether a request may have further attempts, by its class, its deadline and the limits. */
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

    /** Whether one more attempt is allowed now and its answer would still have a value. */
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

    /** Whether running the request again is safe by the idempotency of its class. */
    private boolean mayRunAgain(ScheduledRequest request) {
        Attempt firstExecuted = request.firstPossiblyExecutedAttempt();
        return firstExecuted == null
                || request.idempotency() == Idempotency.IDEMPOTENT
                || request.idempotency() == Idempotency.KEYED
                        && clock.now() - firstExecuted.sentAt()
                                <= request.requestClass().dedupWindowNanos();
    }

    /** Whether a further attempt may queue at an endpoint without room; under overload such attempts multiply. */
    boolean mayQueue(ScheduledRequest request) {
        return !pools.isConfined(request)
                && request.inFlightAttempts() == 0
                && (request.attemptCount() <= 1 || latency.isHighValue(request));
    }

    /** Whether the client can safely send the request again, which is what a rejection tells it. */
    static boolean isSafeToReject(ScheduledRequest request) {
        return request.firstPossiblyExecutedAttempt() == null
                || request.idempotency() == Idempotency.IDEMPOTENT
                || request.idempotency() == Idempotency.KEYED
                        && request.requestClass().dedupScope() == Scope.ALL;
    }
}
