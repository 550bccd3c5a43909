package nettlewick.decision;

import nettlewick.decision.Event.Arrival;

/** The most slots and the most memory that any one request to this dispatcher has needed. */
final class LargestRequest {
    private double slots = 1;
    private double memory;

    void include(Arrival arrival) {
        slots = Math.max(slots, arrival.slots());
        memory = Math.max(memory, arrival.memory());
    }

    double slots() {
        return slots;
    }

    double memory() {
        return memory;
    }
}
