package nettlewick.decision;

import java.util.SplittableRandom;
import nettlewick.decision.Action.Subscribe;

/** Keeps a subscription to the endpoint list open where the site's list comes on request. */
final class ListSubscription {
    private final SchedulerClock clock;
    private final SplittableRandom random;
    private final ActionBatch actions;
    private long renewAt = Long.MAX_VALUE;

    ListSubscription(SchedulerClock clock, SplittableRandom random, ActionBatch actions) {
        this.clock = clock;
        this.random = random;
        this.actions = actions;
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
