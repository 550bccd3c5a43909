package nettlewick.decision;

import nettlewick.decision.Event.Arrival;

/** The most that one job was seen to need here. */
final class LargestRequest {
    double slots = 1;
    double memory;

    void include(Arrival a) {
        slots = Math.max(slots, a.slots());
        memory = Math.max(memory, a.memory());
    }
}
