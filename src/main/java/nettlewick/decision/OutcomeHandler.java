package nettlewick.decision;

import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Progress;

/** Handles outcomes and progress of attempts and the results of load probes, and closes or retries requests. */
final class OutcomeHandler {
    private final SchedulerClock clock;
    private final EndpointDirectory directory;
    private final EndpointRegistry registry;
    private final EndpointPools pools;
    private final RequestTable table;
    private final RequestStatistics statistics;
    private final ServiceRates rates;
    private final CapacityEstimator capacity;
    private final OutlierDetector outliers;
    private final RequestCompletion completion;
    private final RequestRetrier retrier;

    OutcomeHandler(
            SchedulerClock clock,
            EndpointDirectory directory,
            EndpointRegistry registry,
            EndpointPools pools,
            RequestTable table,
            RequestStatistics statistics,
            ServiceRates rates,
            CapacityEstimator capacity,
            OutlierDetector outliers,
            RequestCompletion completion,
            RequestRetrier retrier) {
        this.clock = clock;
        this.directory = directory;
        this.registry = registry;
        this.pools = pools;
        this.table = table;
        this.statistics = statistics;
        this.rates = rates;
        this.capacity = capacity;
        this.outliers = outliers;
        this.completion = completion;
        this.retrier = retrier;
    }

    /** Handles the outcome of an attempt. */
    void recordOutcome(Outcome outcome) {
        Endpoint endpoint = directory.find(outcome.endpoint());
        if (endpoint != null) {
            outliers.recordResult(endpoint, outcome.result(), outcome.latencyNanos(), clock.now());
            if (outcome.load() != null) {
                capacity.recordReport(endpoint, outcome.load());
            }
        }
        Attempt attempt = findAttempt(outcome.id(), outcome.attempt());
        if (attempt == null) {
            return;
        }
        if (!attempt.hasEnded()) {
            recordEnd(attempt, outcome);
        }
        if (outcome.result() == AttemptResult.SERVED && !attempt.request().isAnswered()) {
            recordAnswer(attempt, outcome.latencyNanos());
        }
        closeOrRetry(attempt.request(), outcome);
    }

    private Attempt findAttempt(String id, int number) {
        ScheduledRequest request = table.find(id);
        return request == null ? null : request.attempt(number);
    }

    private void recordEnd(Attempt attempt, Outcome outcome) {
        attempt.end(outcome.result());
        attempt.endpoint().inFlight().remove(attempt);
        if (outcome.result() != AttemptResult.SERVED) {
            return;
        }
        OutlierDetector.recordRunTime(attempt, pools.statsFor(attempt.endpoint()), clock.now());
        if (attempt.hasStarted()) {
            statistics.recordRunTime(clock.now() - attempt.startedAt());
        } else if (attempt.wasSentToFreeCapacity()) {
            statistics.recordRunTime(outcome.latencyNanos());
        }
        registry.recordServed(outcome.endpoint());
    }

    private void recordAnswer(Attempt attempt, long latencyNanos) {
        ScheduledRequest request = attempt.request();
        rates.recordServed(request.cost());
        pools.statsFor(attempt.endpoint()).recordServed(request.cost());
        // A latency that includes queueing time would be mistaken for a long run time.
        if (attempt.wasSentToFreeCapacity()) {
            statistics.recordLatency(request, latencyNanos);
        }
        request.markAnswered();
        completion.cancelOthers(request, attempt.number());
    }

    private void closeOrRetry(ScheduledRequest request, Outcome outcome) {
        if (outcome.isFinal() || request.isAnswered()) {
            completion.close(request);
        } else if (!allowsFurtherAttempt(request, outcome.result())) {
            if (request.inFlightAttempts() == 0) {
                completion.rejectOrFail(request);
            }
        } else {
            retrier.retry(request);
        }
    }

    /** Whether a further attempt is useful: not after a timeout at the deadline, nor after an attempt never sent. */
    private boolean allowsFurtherAttempt(ScheduledRequest request, AttemptResult result) {
        boolean isDeadlineReached = result == AttemptResult.TIMEOUT && clock.now() >= request.deadline();
        return !isDeadlineReached && result != AttemptResult.NOT_SENT;
    }

    /** Handles the result of a load probe. */
    void recordProbeAnswer(ProbeAnswer answer) {
        Endpoint endpoint = directory.find(answer.endpoint());
        if (endpoint == null) {
            return;
        }
        endpoint.capacity().setProbePending(false);
        if (answer.result() == AttemptResult.SERVED) {
            if (answer.load() != null) {
                capacity.recordReport(endpoint, answer.load());
            }
        } else if (answer.result() != AttemptResult.OVERLOADED && answer.result() != AttemptResult.NOT_SENT) {
            outliers.recordResult(endpoint, answer.result(), answer.latencyNanos(), clock.now());
        }
    }

    /** Handles a progress event; the first one reports that the request has started. */
    void recordProgress(Progress progress) {
        Endpoint endpoint = directory.find(progress.endpoint());
        if (endpoint == null) {
            return;
        }
        endpoint.health().confirmHealthy(clock.now());
        Attempt attempt = findAttempt(progress.id(), progress.attempt());
        if (attempt == null) {
            return;
        }
        boolean isStart = progress.completedShare() <= 0;
        if (isStart && !attempt.hasStarted() && attempt.predictedWaitNanos() > 0) {
            pools.statsFor(attempt.endpoint())
                    .waitCalibration()
                    .add(attempt.predictedWaitNanos(), clock.now() - attempt.sentAt());
        }
        OutlierDetector.recordProgress(attempt, isStart, clock.now());
    }
}
