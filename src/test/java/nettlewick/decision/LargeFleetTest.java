package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.PeerMessageReceived;
import org.junit.jupiter.api.Test;

/** What works for one dispatcher, or for few, and fails where there are many. */
class LargeFleetTest {
    private static final long SECOND = Samples.SECOND;

    /**
     * Guards against a pool that is made for the mean dispatcher: one with many times the mean traffic fills it by
     * itself and queues there, while most of the fleet is idle.
     */
    @Test
    void aBusyDispatcherSpreadsOverMoreOfTheFleetThanAnIdleOne() {
        SimulatedFleet fleet = new SimulatedFleet(14, 60, 3);
        fleet.traffic(0, 80, SECOND / 2, 0, 12 * SECOND);
        fleet.run(4 * SECOND);
        int before = fleet.sent + fleet.rejected;
        int bad = fleet.sentToFullEndpoint + fleet.rejected;
        fleet.run(12 * SECOND);
        double share =
                (double) (fleet.sentToFullEndpoint + fleet.rejected - bad) / (fleet.sent + fleet.rejected - before);
        assertTrue(
                share < 0.1,
                share + " of the requests were rejected or sent to a full endpoint; 80 of 120 slots are free");
    }

    /** Datagrams that a dispatcher sends each second while every one of them has two or three requests a second. */
    private static double datagramsPerDispatcher(int dispatchers, int endpoints) {
        SimulatedFleet fleet = new SimulatedFleet(dispatchers, endpoints, 5);
        for (int rank = 0; rank < dispatchers; rank++) {
            fleet.traffic(rank, 2.5, SECOND / 4, 2 * SECOND, 6 * SECOND);
        }
        fleet.run(2 * SECOND);
        long before = fleet.datagrams;
        fleet.run(6 * SECOND);
        return (fleet.datagrams - before) / 4.0 / dispatchers;
    }

    /** Guards against gossip between all dispatchers: their bytes grew with the square of the tier. */
    @Test
    void datagramsOfOneDispatcherDoNotGrowWithTheTier() {
        double small = datagramsPerDispatcher(20, 40);
        double large = datagramsPerDispatcher(100, 200);
        assertTrue(large < 1.5 * small, large + " datagrams a second at 100 dispatchers, " + small + " at 20");
    }

    /**
     * Guards against a large tier that knows only what few peers hold: reports are a second old, requests a quarter,
     * and endpoints fill without each dispatcher's knowledge. With gossip to four neighbors 0.32 of the requests found
     * their endpoint full here, with gossip to all 0.10.
     */
    @Test
    void loadOfAllDispatchersIsKnownInALargeTier() {
        SimulatedFleet fleet = new SimulatedFleet(98, 64, 11);
        double rate = 0.5 * SimulatedFleet.SLOTS * 64 / 0.25 / 98;
        for (int rank = 0; rank < 98; rank++) {
            fleet.traffic(rank, rate, SECOND / 4, 2 * SECOND, 10 * SECOND);
        }
        fleet.run(4 * SECOND);
        int sent = fleet.sent;
        int full = fleet.sentToFullEndpoint;
        fleet.run(10 * SECOND);
        double share = (double) (fleet.sentToFullEndpoint - full) / (fleet.sent - sent);
        assertTrue(share < 0.06, share + " of the requests found their endpoint full");
    }

    /** Neighbors are mutual, the ring leaves no dispatcher out, and in small tiers all are neighbors. */
    @Test
    void neighborsAreFewSymmetricAndNearestByRingPosition() {
        int size = 1000;
        int reach = ProbePoolNeighbors.NEIGHBORS_PER_SIDE;
        int[] told = new int[size];
        for (int each = 0; each < size; each++) {
            int rank = each;
            int[] near = ProbePoolNeighbors.neighborsOf(rank, size, reach);
            assertEquals(
                    2 * reach,
                    java.util.Arrays.stream(near)
                            .distinct()
                            .filter(r -> r != rank)
                            .count());
            for (int other : near) {
                told[other]++;
                assertTrue(java.util.Arrays.stream(ProbePoolNeighbors.neighborsOf(other, size, reach))
                        .anyMatch(r -> r == rank));
                double apart = Math.abs(ProbePoolNeighbors.ringPosition(other) - ProbePoolNeighbors.ringPosition(rank));
                assertTrue(Math.min(apart, 1 - apart) < 3.0 * reach / size, rank + " and " + other + " lie apart");
            }
        }
        assertTrue(java.util.Arrays.stream(told).allMatch(n -> n == 2 * reach));
        assertEquals(4, ProbePoolNeighbors.neighborsOf(2, 5, reach).length);
    }

    /** Guards against belief in reports alone as soon as one of many peers is silent: here the third never speaks. */
    @Test
    void gossipOfOnePeerCountsThoughAnotherIsSilent() {
        RequestScheduler scheduler = new RequestScheduler(Samples.settings(0, 3, true), 1);
        scheduler.handle(
                1,
                List.of(
                        new EndpointList(
                                true,
                                List.of(
                                        Samples.entry("w0", EndpointState.READY, 0, "north", 0),
                                        Samples.entry("w1", EndpointState.READY, 0, "north", 0))),
                        Samples.probeAnswer("w0", 2, 0),
                        Samples.probeAnswer("w1", 2, 0)));
        Endpoint full = new Endpoint("w0");
        Samples.setSlotsInFlight(full, 2);
        LoadGossiper peer = new LoadGossiper(new PeerFaultCounters());
        peer.replaceEndpoints(List.of(full, new Endpoint("w1")));
        scheduler.handle(
                2, List.of(new PeerMessageReceived(1, peer.dueMessages(2).get(0))));
        for (int i = 0; i < 2; i++) {
            List<Action> actions = scheduler.handle(3 + i, List.of(Samples.arrival("j" + i, "read", "red")));
            assertEquals(
                    "w1", Samples.actionsOfType(Dispatch.class, actions).get(0).endpointId());
        }
    }
}
