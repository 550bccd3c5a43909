package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.decision.Dispatcher.*;
import org.junit.jupiter.api.Test;

/** What is fine for one dispatcher, or for few, and hurts where there are many. */
class FleetTest {
    private static final long SECOND = Samples.SECOND;

    /**
     * Guards against a pool that is made for the mean dispatcher: one with many times the mean traffic fills it by
     * itself and queues there, while most of the fleet is idle.
     */
    @Test
    void aBusyDispatcherSpreadsOverMoreOfTheFleetThanAnIdleOne() {
        SmallFleet fleet = new SmallFleet(14, 60, 3);
        fleet.traffic(0, 80, SECOND / 2, 0, 12 * SECOND);
        fleet.run(4 * SECOND);
        int before = fleet.sent + fleet.refused;
        int bad = fleet.toFull + fleet.refused;
        fleet.run(12 * SECOND);
        double share = (double) (fleet.toFull + fleet.refused - bad) / (fleet.sent + fleet.refused - before);
        assertTrue(share < 0.1, share + " of the jobs were refused or sent to a full worker; 80 of 120 slots are free");
    }

    /** Guards against belief in reports alone as soon as one of many peers is silent: here the third never speaks. */
    @Test
    void whatOnePeerTellsCountsThoughAnotherIsSilent() {
        Logic logic = new Logic(Samples.settings(0, 3, true), 1);
        logic.handle(1, List.of(new WorkerList(true, List.of(Samples.entry("w0", Life.READY, 0, "north", 0),
                Samples.entry("w1", Life.READY, 0, "north", 0))), Samples.answer("w0", 2, 0), Samples.answer("w1", 2, 0)));
        State.Worker full = new State.Worker("w0");
        full.outSlots = 2;
        SharedLoads peer = new SharedLoads();
        peer.list(List.of(full, new State.Worker("w1")));
        logic.handle(2, List.of(new PeerMessage(1, peer.news(2).get(0))));
        for (int i = 0; i < 2; i++) {
            List<Action> actions = logic.handle(3 + i, List.of(Samples.arrival("j" + i, "read", "red")));
            assertEquals("w1", Samples.only(Dispatch.class, actions).get(0).worker());
        }
    }
}
