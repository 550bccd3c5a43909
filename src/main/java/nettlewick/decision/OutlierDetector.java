package nettlewick.decision;

import java.util.List;
import java.util.function.Supplier;
import nettlewick.decision.SchedulerSettings.Idempotency;

/**
 * Outlier detection: ejects endpoints for how they end what is sent to them, lets them back in step by step,
 * and recognises attempts that are lost or late.
 */
final class OutlierDetector {
    /** First time for which a failing endpoint is ejected. */
    private static final long BASE_EJECTION_NANOS = 500_000_000;
    /** Connections that must fail in a row before the endpoint is taken for the cause. */
    private static final int MIN_CONSECUTIVE_FAILURES = 2;

    private static final double FALSE_POSITIVE_PROBABILITY = 0.005;
    private static final double MIN_CONNECTION_FAILURE_RATE = 0.001;
    private static final double MAX_CONNECTION_FAILURE_RATE = 0.5;
    private static final int CONNECTION_FAILURE_RATE_SAMPLES = 100;
    private static final int CONNECTION_FAILURE_RATE_INITIAL_SAMPLES = 50;
    /** A process that refuses connections does so at once; an endpoint that is cut off takes longer than this. */
    private static final long MAX_CONNECTION_REFUSAL_NANOS = 100_000_000;
    /** Part of the ready endpoints that may be ejected at once: beyond it the fault is elsewhere. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /** More than sends can change their order by on the way. */
    private static final long MAX_REORDERING_NANOS = 250_000_000;
    /** Progress messages that may fail to come before an attempt counts as lost. */
    private static final int MISSED_PROGRESS_LIMIT = 2;
    /** A report that came this long after a send shows the endpoint after it. */
    private static final long REPORT_SETTLING_NANOS = 1_500_000_000;
    /** Nineteen in twenty requests sent to a free slot start within this. */
    private static final long START_TIMEOUT_NANOS = 150_000_000;
    /** The weight, in samples, of a kind's slowdown against the endpoint's own. */
    private static final double PRIOR_SAMPLES = 3;
    /** Expected run times of silence, summed over its attempts, after which an endpoint counts as silent. */
    private static final double MAX_SILENT_RUN_TIMES = 5;

    private final Supplier<List<Endpoint>> readyEndpoints;
    /** Share of connections that break, over the whole fleet. */
    private final RunningMean connectionFailureRate =
            new RunningMean(CONNECTION_FAILURE_RATE_SAMPLES, CONNECTION_FAILURE_RATE_INITIAL_SAMPLES);

    /** A detector for the fleet whose ready endpoints {@code ready} returns. */
    OutlierDetector(Supplier<List<Endpoint>> readyEndpoints) {
        this.readyEndpoints = readyEndpoints;
    }

    /** Takes over how an attempt, or a probe that failed, ended at this endpoint. */
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
            // An endpoint that answers every request with an error at once always shows room.
            case ERROR, TIMEOUT -> eject(endpoint, now);
            case UNREACHABLE, BROKEN -> recordConnectionFailure(endpoint, result, latencyNanos, now);
            default -> {}
        }
    }

    /** Connections also break on the way, at endpoints that are well. */
    private void recordConnectionFailure(Endpoint endpoint, AttemptResult result, long latencyNanos, long now) {
        connectionFailureRate.add(1);
        boolean isConnectTimeout = result == AttemptResult.UNREACHABLE && latencyNanos > MAX_CONNECTION_REFUSAL_NANOS;
        if (endpoint.health().countConnectionFailure() >= consecutiveFailureLimit() || isConnectTimeout) {
            eject(endpoint, now);
        }
    }

    /** Failures in a row that chance alone hardly brings, at the share of connections that break now. */
    private double consecutiveFailureLimit() {
        double failureRate = Math.min(
                MAX_CONNECTION_FAILURE_RATE, Math.max(MIN_CONNECTION_FAILURE_RATE, connectionFailureRate.value()));
        return Math.max(
                MIN_CONSECUTIVE_FAILURES, Math.ceil(Math.log(FALSE_POSITIVE_PROBABILITY) / Math.log(failureRate)));
    }

    /** Ejects the endpoint for a time, unless it or too much of the fleet is ejected already. */
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

    /** Records that an attempt shows progress; {@code isStart} if the request has just started. */
    static void recordProgress(Attempt attempt, boolean isStart, long now) {
        attempt.recordProgress(isStart, now);
        if (isStart) {
            attempt.endpoint().health().recordStartOfAttemptSentAt(attempt.sentAt());
        }
    }

    /**
     * Whether an attempt is lost though its endpoint is well, as when one connection falls silent. Endpoints
     * start what waits in order: an attempt that a later one has overtaken, or that has not started while
     * nothing waits, never came or is dead. One that runs shows progress every {@code progressNanos}, unless
     * that is 0.
     */
    static boolean isLost(Attempt attempt, long now, long progressNanos) {
        if (attempt.hasStarted()) {
            return progressNanos > 0 && now - attempt.lastSignAt() > MISSED_PROGRESS_LIMIT * progressNanos;
        }
        Endpoint endpoint = attempt.endpoint();
        return endpoint.health().latestStartedSentAt() - attempt.sentAt() > MAX_REORDERING_NANOS
                || endpoint.capacity().reportedAt() - attempt.sentAt() > REPORT_SETTLING_NANOS
                        && endpoint.capacity().isQueueProvenEmpty();
    }

    /** Whether an attempt that was sent to a free slot should have started by now. */
    static boolean isStartOverdue(Attempt attempt, long now) {
        return attempt.sawFreeCapacity() && !attempt.hasStarted() && now - attempt.sentAt() > START_TIMEOUT_NANOS;
    }

    /** Whether an endpoint has been silent too long, in expected run times summed over its attempts. */
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

    /** Records, for an attempt that was served, how long it ran against its hint. */
    static void recordRunTime(Attempt attempt, EndpointKindStats stats, long now) {
        long hint = attempt.request().arrival().costHintNanos();
        if (attempt.hasStarted() && hint > 0 && now > attempt.startedAt()) {
            double slowdown = Math.log((double) (now - attempt.startedAt()) / hint);
            attempt.endpoint().health().slowdown().add(slowdown);
            stats.slowdown().add(slowdown);
        }
    }

    /** How many times its hint a request is expected to run there. */
    static double expectedSlowdown(Endpoint endpoint, EndpointKindStats stats) {
        RunningMean own = endpoint.health().slowdown();
        return Math.exp(
                (own.count() * own.value() + PRIOR_SAMPLES * stats.slowdown().value()) / (own.count() + PRIOR_SAMPLES));
    }

    /** Whether an attempt may be waiting at its endpoint, unless reports state the queue. */
    private static boolean mayBeQueued(Attempt attempt) {
        return !attempt.hasStarted()
                && !attempt.isLost()
                && !attempt.endpoint().capacity().reportsQueue();
    }

    /** How long the own request that waits there longest has waited, in nanoseconds; 0 if none waits. */
    static long longestWait(Endpoint endpoint, long now) {
        long longest = 0;
        for (Attempt attempt : endpoint.inFlight().attempts()) {
            longest = mayBeQueued(attempt) ? Math.max(longest, now - attempt.sentAt()) : longest;
        }
        return longest > START_TIMEOUT_NANOS ? longest : 0;
    }

    /**
     * Slots of own requests that wait there; 0 if none has waited for longer than a start takes. Where reports
     * state no queue, slots may be free while a first request that fits none of them holds up all others.
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

    /** Whether the request may go there: after its ejection an endpoint is tried with one harmless request first. */
    static boolean mayReceive(Endpoint endpoint, ScheduledRequest request, long now) {
        boolean isTrial = endpoint.inFlight().isEmpty() && request.idempotency() != Idempotency.NON_IDEMPOTENT;
        return !endpoint.health().isEjected(now) && (!endpoint.health().isUnconfirmed() || isTrial);
    }
}
