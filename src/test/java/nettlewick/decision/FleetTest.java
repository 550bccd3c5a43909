package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

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
}
