package nettlewick.decision;

import java.util.SplittableRandom;

/**
 * What every part of one instance works with.
 *
 * @param settings the settings of the instance
 * @param clock    the time of the batch being handled
 * @param actions  takes the actions decided on
 * @param random   the only source of random numbers
 */
record SchedulerContext(
        SchedulerSettings settings, SchedulerClock clock, ActionBatch actions, SplittableRandom random) {
    /** A context whose random numbers all come from {@code seed}. */
    static SchedulerContext create(SchedulerSettings settings, long seed) {
        return new SchedulerContext(settings, new SchedulerClock(), new ActionBatch(), new SplittableRandom(seed));
    }

    /** Whether this dispatcher exchanges messages with others at all. */
    boolean hasPeers() {
        return settings.limits().allowsPeers() && settings.fleetSize() > 1;
    }
}
