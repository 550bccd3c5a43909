package nettlewick.simulator;

import java.util.List;
import nettlewick.decision.Event;
import nettlewick.decision.SchedulerSettings;

/**
 * A batch of events: one line of input.
 *
 * @param nowNanos the time of all events in the batch
 * @param number   the batch number, repeated in the reply
 * @param groups   the items, by instance
 */
record Batch(long nowNanos, long number, List<Group> groups) {
    /** The items of one instance, in order. */
    record Group(int instance, List<Item> items) {}

    /** An item that concerns one instance. */
    sealed interface Item {}

    /** Starts a new instance of the decision module. */
    record NewInstance(SchedulerSettings settings, long seed) implements Item {}

    /** Removes the instance. */
    record Kill() implements Item {}

    /** An event for the instance to handle. */
    record EventItem(Event event) implements Item {}
}
