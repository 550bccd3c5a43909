package nettlewick.decision;

import java.util.SplittableRandom;
import nettlewick.decision.Action.Subscribe;

/** Keeps a subscription to the endpoint list open where the site's list comes on request. */
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

    /** The subscription broke: it is renewed after a random delay of half an interval or more. */
    void recordFailure() {
        renewAt = clock.now()
                + SchedulerTimings.SHARE_INTERVAL_NANOS / 2
                + random.nextLong(SchedulerTimings.SHARE_INTERVAL_NANOS);
    }

    /** On each tick. */
    void tick() {
        if (clock.now() >= renewAt) {
            renewAt = Long.MAX_VALUE;
            subscribe();
        }
    }
}
