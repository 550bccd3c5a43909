package nettlewick.decision;

import java.util.SplittableRandom;
import nettlewick.decision.Action.Subscribe;

/** Keeps a subscription to the endpoint list open at sites that send the list on request only. */
final class EndpointListSubscription {
    private final SchedulerClock clock;
    private final SplittableRandom random;
    private final ActionBatch actions;
    private long renewAt = Long.MAX_VALUE;

    EndpointListSubscription(SchedulerContext context) {
        this.clock = context.clock();
        this.random = context.random();
        this.actions = context.actions();
    }

    void subscribe() {
        actions.add(new Subscribe());
    }

    /** Schedules renewal of a failed subscription after a random delay of 0.5 to 1.5 share intervals. */
    void recordFailure() {
        renewAt = clock.now()
                + SchedulerTimings.SHARE_INTERVAL_NANOS / 2
                + random.nextLong(SchedulerTimings.SHARE_INTERVAL_NANOS);
    }

    /** On each tick, renews the subscription if that is due. */
    void tick() {
        if (clock.now() >= renewAt) {
            renewAt = Long.MAX_VALUE;
            subscribe();
        }
    }
}
