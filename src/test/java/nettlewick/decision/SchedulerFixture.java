package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import nettlewick.decision.Action.Dispatch;

/** A scheduler in a fleet of three, with a virtual clock and shorthands for events. */
class SchedulerFixture {
    final RequestScheduler scheduler = new RequestScheduler(Samples.settings(0, 3, true), 11);
    long now = 1;
    int requestCount;

    List<Action> at(long time, Event... events) {
        now = time;
        return scheduler.handle(now, List.of(events));
    }

    Dispatch send(String requestClass) {
        List<Dispatch> sent = Samples.actionsOfType(
                Dispatch.class, at(now + 1, Samples.arrival("j" + requestCount++, requestClass, "red")));
        assertEquals(1, sent.size());
        return sent.get(0);
    }

    void answerProbes(double freeSlots, double waiting, int endpoints) {
        for (int i = 0; i < endpoints; i++) {
            at(now, Samples.probeAnswer("w" + i, freeSlots, waiting));
        }
    }
}
