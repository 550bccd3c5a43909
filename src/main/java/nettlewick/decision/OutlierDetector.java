package nettlewick.decision;

import java.util.List;
import java.util.function.Supplier;
import nettlewick.decision.SchedulerSettings.Idempotency;

/**
 * Outlier detection: ejects endpoints according to the results of attempts, readmits them with trial requests, and
 * recognises attempts that are lost or overdue.
 */
final class OutlierDetector {
    /** Duration of the first ejection of a failing endpoint. */
    private static final long BASE_EJECTION_NANOS = 500_000_000;
    /** Minimum number of consecutive connection failures that are attributed to the endpoint. */
    private static final int MIN_CONSECUTIVE_FAILURES = 2;

    private static final double FALSE_POSITIVE_PROBABILITY = 0.005;
    private static final double MIN_CONNECTION_FAILURE_RATE = 0.001;
    private static final double MAX_CONNECTION_FAILURE_RATE = 0.5;
    private static final int CONNECTION_FAILURE_RATE_SAMPLES = 100;
    private static final int CONNECTION_FAILURE_RATE_INITIAL_SAMPLES = 50;
    /** A process that refuses connections does so within this time; an unreachable endpoint takes longer. */
    private static final long MAX_CONNECTION_REFUSAL_NANOS = 100_000_000;
    /** Largest share of the ready endpoints ejected at once; if more are failing, the cause is not the endpoints. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /** Longest time between two sends that may arrive in reverse order. */
    private static final long MAX_REORDERING_NANOS = 250_000_000;
    /** Progress messages that an attempt may miss before it counts as lost. */
    private static final int MISSED_PROGRESS_LIMIT = 2;
    /** A report that arrives later than this after a send reflects the endpoint's state after that send. */
    private static final long REPORT_SETTLING_NANOS = 1_500_000_000;
    /** 95% of the requests sent to a free slot start within this time. */
    private static final long START_TIMEOUT_NANOS = 150_000_000;
    /** The weight of a kind's slowdown against the endpoint's own, in samples. */
    private static final double PRIOR_SAMPLES = 3;
    /** An endpoint counts as silent after this many expected run times without a response, summed over its attempts. */
    private static final double MAX_SILENT_RUN_TIMES = 5;

    private final Supplier<List<Endpoint>> readyEndpoints;
    /** Share of connections that fail, over all endpoints. */
    private final RunningMean connectionFailureRate =
            new RunningMean(CONNECTION_FAILURE_RATE_SAMPLES, CONNECTION_FAILURE_RATE_INITIAL_SAMPLES);

    /** Creates a detector for the endpoints that {@code readyEndpoints} returns. */
    OutlierDetector(Supplier<List<Endpoint>> readyEndpoints) {
        this.readyEndpoints = readyEndpoints;
    }

    /** Records the result of an attempt, or of a failed probe, at this endpoint. */
    void recordResult(Endpoint endpoint, AttemptResult result, long latencyNanos, long now) {
        switch (result) {
            case SERVED -> {
                endpoint.health().confirmHealthy(now);
                connectionFailureRate.add(0);
                endpoint.health().endEjection(now);
            }
            case OVERLOADED -> {
                endpoint.health().recordResponse(now);
                endpoint.capacity().recordOverload(now);
            }
            // An endpoint that answers every request with an error at once always appears to have free capacity.
            case ERROR, TIMEOUT -> eject(endpoint, now);
            case UNREACHABLE, BROKEN -> recordConnectionFailure(endpoint, result, latencyNanos, now);
            default -> {}
        }
    }

    /** A single failure does not eject, because network faults also break connections to healthy endpoints. */
    private void recordConnectionFailure(Endpoint endpoint, AttemptResult result, long latencyNanos, long now) {
        connectionFailureRate.add(1);
        boolean isConnectTimeout = result == AttemptResult.UNREACHABLE && latencyNanos > MAX_CONNECTION_REFUSAL_NANOS;
        if (endpoint.health().countConnectionFailure() >= consecutiveFailureLimit() || isConnectTimeout) {
            eject(endpoint, now);
        }
    }

    /** The number of consecutive failures that is improbable by chance at the current connection failure rate. */
    private double consecutiveFailureLimit() {
        double failureRate = Math.min(
                MAX_CONNECTION_FAILURE_RATE, Math.max(MIN_CONNECTION_FAILURE_RATE, connectionFailureRate.value()));
        return Math.max(
                MIN_CONSECUTIVE_FAILURES, Math.ceil(Math.log(FALSE_POSITIVE_PROBABILITY) / Math.log(failureRate)));
    }

    /** Ejects the endpoint temporarily, unless it is ejected already or too many endpoints are. */
    void eject(Endpoint endpoint, long now) {
        long ejectedCount = readyEndpoints.get().stream()
                .filter(e -> e.health().isEjected(now))
                .count();
        boolean mayEject = ejectedCount + 1
                <= Math.max(1, MAX_EJECTED_SHARE * readyEndpoints.get().size());
        if (!endpoint.health().isEjected(now) && mayEject) {
            endpoint.health().eject(BASE_EJECTION_NANOS, now);
        }
    }

    /** Records progress of an attempt; {@code isStart} if its request has just started running. */
    static void recordProgress(Attempt attempt, boolean isStart, long now) {
        attempt.recordProgress(isStart, now);
        if (isStart) {
            attempt.endpoint().health().recordStartOfAttemptSentAt(attempt.sentAt());
        }
    }

    /**
     * Whether an attempt is lost although its endpoint is healthy, as when one connection stalls. Endpoints start
     * queued requests in order, so an attempt that a later one has overtaken, or that has not started while the queue
     * is empty, never arrived or has died. A running attempt reports progress every {@code progressNanos}, unless that
     * is 0.
     */
    static boolean isLost(Attempt attempt, long now, long progressNanos) {
        if (attempt.hasStarted()) {
            return progressNanos > 0 && now - attempt.lastProgressAt() > MISSED_PROGRESS_LIMIT * progressNanos;
        }
        Endpoint endpoint = attempt.endpoint();
        return endpoint.health().latestStartedSentAt() - attempt.sentAt() > MAX_REORDERING_NANOS
                || endpoint.capacity().reportedAt() - attempt.sentAt() > REPORT_SETTLING_NANOS
                        && endpoint.capacity().isQueueProvenEmpty();
    }

    /** Whether an attempt that was sent to a free slot should have started by now. */
    static boolean isStartOverdue(Attempt attempt, long now) {
        return attempt.wasSentToFreeCapacity() && !attempt.hasStarted() && now - attempt.sentAt() > START_TIMEOUT_NANOS;
    }

    /** Whether an endpoint has sent no response for too long, relative to its attempts' expected run times. */
    static boolean isSilent(Endpoint endpoint, RequestStatistics statistics, long now) {
        double silentRunTimes = 0;
        for (Attempt attempt : endpoint.inFlight().attempts()) {
            ScheduledRequest request = attempt.request();
            double expectedNanos =
                    Math.max(statistics.meanLatency(request), request.arrival().costHintNanos());
            long silentNanos =
                    now - Math.max(attempt.sentAt(), endpoint.health().lastResponseAt());
            silentRunTimes +=
                    expectedNanos <= 0 ? 0 : silentNanos / Math.max(expectedNanos, SchedulerTimings.TICK_NANOS);
        }
        return silentRunTimes > MAX_SILENT_RUN_TIMES;
    }

    /** Records the ratio of run time to cost hint of an attempt that was served. */
    static void recordRunTime(Attempt attempt, EndpointKindStats stats, long now) {
        long hint = attempt.request().arrival().costHintNanos();
        if (attempt.hasStarted() && hint > 0 && now > attempt.startedAt()) {
            double slowdown = Math.log((double) (now - attempt.startedAt()) / hint);
            attempt.endpoint().health().slowdown().add(slowdown);
            stats.slowdown().add(slowdown);
        }
    }

    /** The expected ratio of run time to cost hint at the endpoint. */
    static double expectedSlowdown(Endpoint endpoint, EndpointKindStats stats) {
        RunningMean own = endpoint.health().slowdown();
        return Math.exp(
                (own.count() * own.value() + PRIOR_SAMPLES * stats.slowdown().value()) / (own.count() + PRIOR_SAMPLES));
    }

    /** Whether an attempt may be queued at its endpoint; false if the endpoint's reports include the queue. */
    private static boolean mayBeQueued(Attempt attempt) {
        return !attempt.hasStarted()
                && !attempt.isLost()
                && !attempt.endpoint().capacity().reportsQueue();
    }

    /** The longest time in nanoseconds that an own request has been queued there; 0 if none is queued. */
    static long longestWait(Endpoint endpoint, long now) {
        long longest = 0;
        for (Attempt attempt : endpoint.inFlight().attempts()) {
            longest = mayBeQueued(attempt) ? Math.max(longest, now - attempt.sentAt()) : longest;
        }
        return longest > START_TIMEOUT_NANOS ? longest : 0;
    }

    /**
     * Slots of own requests queued there; 0 if none has been queued for longer than the start timeout. If reports do
     * not include the queue, slots may be free although the first queued request does not fit and blocks all others.
     */
    static double blockedSlots(Endpoint endpoint, long now) {
        double slots = 0;
        boolean isBlocked = false;
        for (Attempt attempt : endpoint.inFlight().attempts()) {
            boolean isQueued = mayBeQueued(attempt);
            slots += isQueued ? attempt.request().arrival().slots() : 0;
            isBlocked |= isQueued && now - attempt.sentAt() > START_TIMEOUT_NANOS;
        }
        return isBlocked ? slots : 0;
    }

    /**
     * Whether the request may be sent to the endpoint. After an ejection, it receives one idempotent or keyed request
     * at a time until it is confirmed healthy.
     */
    static boolean mayReceive(Endpoint endpoint, ScheduledRequest request, long now) {
        boolean isTrial = endpoint.inFlight().isEmpty() && request.idempotency() != Idempotency.NON_IDEMPOTENT;
        return !endpoint.health().isEjected(now) && (!endpoint.health().isUnconfirmed() || isTrial);
    }
}
