package nettlewick.decision;

import java.util.SplittableRandom;

/**
 * The state shared by the components of one instance.
 *
 * @param settings the settings of the instance
 * @param clock    the time of the current batch
 * @param actions  collects the actions of the current batch
 * @param random   the only source of random numbers
 */
record SchedulerContext(
        SchedulerSettings settings, SchedulerClock clock, ActionBatch actions, SplittableRandom random) {
    /** Creates a context whose random numbers all derive from {@code seed}. */
    static SchedulerContext create(SchedulerSettings settings, long seed) {
        return new SchedulerContext(settings, new SchedulerClock(), new ActionBatch(), new SplittableRandom(seed));
    }

    /** Whether this dispatcher exchanges messages with peers. */
    boolean hasPeers() {
        return settings.limits().allowsPeers() && settings.fleetSize() > 1;
    }
}
