package nettlewick.decision;

import java.util.List;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.SchedulerSettings.Idempotency;

/** Detects lost and overdue attempts and silent endpoints, and hedges or cancels the affected attempts. */
final class AttemptMonitor {
    private final SchedulerSettings settings;
    private final SchedulerClock clock;
    private final ActionBatch actions;
    private final EndpointDirectory directory;
    private final RequestStatistics statistics;
    private final OutlierDetector outliers;
    private final HedgingPolicy hedging;
    private final RequestRetrier retrier;

    AttemptMonitor(
            SchedulerContext context,
            EndpointDirectory directory,
            RequestStatistics statistics,
            OutlierDetector outliers,
            HedgingPolicy hedging,
            RequestRetrier retrier) {
        this.settings = context.settings();
        this.clock = context.clock();
        this.actions = context.actions();
        this.directory = directory;
        this.statistics = statistics;
        this.outliers = outliers;
        this.hedging = hedging;
        this.retrier = retrier;
    }

    /** Runs on each tick. An endpoint that hangs may still report free slots, so it is detected by its silence. */
    void tick() {
        for (Endpoint endpoint : directory.all()) {
            List.copyOf(endpoint.inFlight().attempts()).forEach(this::checkAttempt);
            if (!endpoint.health().isEjected(clock.now())
                    && OutlierDetector.isSilent(endpoint, statistics, clock.now())) {
                outliers.eject(endpoint, clock.now());
                List.copyOf(endpoint.inFlight().attempts()).forEach(this::replaceOrCancel);
            }
        }
    }

    private void checkAttempt(Attempt attempt) {
        if (OutlierDetector.isLost(attempt, clock.now(), settings.progressIntervalNanos())) {
            hedging.recordLost(attempt);
            attempt.endpoint().inFlight().release(attempt);
            replaceOrCancel(attempt);
        } else if (OutlierDetector.isStartOverdue(attempt, clock.now()) && hedging.mayHedge(attempt.request())) {
            replaceOrCancel(attempt);
            if (attempt.isReplaced()) {
                hedging.recordHedge();
            }
        }
    }

    /** Sends the request of a stuck attempt again, or cancels the attempt, as its class and the limits allow. */
    private void replaceOrCancel(Attempt attempt) {
        ScheduledRequest request = attempt.request();
        if (attempt.isReplaced() || request.isAnswered() || request.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return;
        }
        if (settings.limits().allowsHedging()) {
            int attemptsBefore = request.attemptCount();
            retrier.retry(request);
            if (request.attemptCount() > attemptsBefore) {
                attempt.markReplaced();
            }
        } else if (settings.limits().allowsCancel() && request.idempotency() == Idempotency.IDEMPOTENT) {
            actions.add(new Cancel(request.id(), attempt.number()));
        }
    }
}
