package nettlewick.simulator;

import java.util.List;
import nettlewick.decision.Event;
import nettlewick.decision.SchedulerSettings;

/**
 * One line of input.
 *
 * @param nowNanos the time at which all its events happen
 * @param number   repeated in the reply
 * @param groups   the events, by instance
 */
record Batch(long nowNanos, long number, List<Group> groups) {
    /** What happens to one instance, in order. */
    record Group(int instance, List<Item> items) {}

    /** One thing that happens to an instance. */
    sealed interface Item {}

    /** A new instance of the module begins. */
    record NewInstance(SchedulerSettings settings, long seed) implements Item {}

    /** The instance dies. */
    record Kill() implements Item {}

    /** An event that the instance is to handle. */
    record Occurrence(Event event) implements Item {}
}
