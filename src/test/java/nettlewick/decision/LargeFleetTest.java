package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.PeerMessageReceived;
import org.junit.jupiter.api.Test;

/** Properties that hold with few dispatchers and could fail with many. */
class LargeFleetTest {
    private static final long SECOND = Samples.SECOND;

    /**
     * Guards against a probe pool sized for the mean dispatcher: a dispatcher with many times the mean traffic fills
     * its pool alone and queues requests there, while most endpoints are idle.
     */
    @Test
    void aBusyDispatcherSpreadsOverMoreOfTheFleetThanAnIdleOne() {
        SimulatedFleet fleet = new SimulatedFleet(14, 60, 3);
        fleet.addTraffic(0, 80, SECOND / 2, 0, 12 * SECOND);
        fleet.run(4 * SECOND);
        int requestsBefore = fleet.sent + fleet.rejected;
        int misplacedBefore = fleet.sentToFullEndpoint + fleet.rejected;
        fleet.run(12 * SECOND);
        double share = (double) (fleet.sentToFullEndpoint + fleet.rejected - misplacedBefore)
                / (fleet.sent + fleet.rejected - requestsBefore);
        assertTrue(
                share < 0.1,
                share + " of the requests were rejected or sent to a full endpoint; 80 of 120 slots are free");
    }

    /** Returns the datagrams per second of a dispatcher while every dispatcher gets 2.5 requests a second. */
    private static double datagramsPerDispatcher(int dispatchers, int endpoints) {
        SimulatedFleet fleet = new SimulatedFleet(dispatchers, endpoints, 5);
        for (int rank = 0; rank < dispatchers; rank++) {
            fleet.addTraffic(rank, 2.5, SECOND / 4, 2 * SECOND, 6 * SECOND);
        }
        fleet.run(2 * SECOND);
        long datagramsBefore = fleet.datagrams;
        fleet.run(6 * SECOND);
        return (fleet.datagrams - datagramsBefore) / 4.0 / dispatchers;
    }

    /** Guards against gossip among all dispatchers, whose traffic grows with the square of their number. */
    @Test
    void datagramsOfOneDispatcherDoNotGrowWithTheTier() {
        double small = datagramsPerDispatcher(20, 40);
        double large = datagramsPerDispatcher(100, 200);
        assertTrue(large < 1.5 * small, large + " datagrams a second at 100 dispatchers, " + small + " at 20");
    }

    /**
     * Guards against a large tier in which a dispatcher knows the load of few peers only. Load reports are up to a
     * second old while requests run for a quarter of a second, so endpoints fill up unnoticed. In this scenario, 0.32
     * of the requests found their endpoint full with gossip to four neighbors, and 0.10 with gossip to all.
     */
    @Test
    void loadOfAllDispatchersIsKnownInALargeTier() {
        SimulatedFleet fleet = new SimulatedFleet(98, 64, 11);
        double rate = 0.5 * SimulatedFleet.SLOTS * 64 / 0.25 / 98;
        for (int rank = 0; rank < 98; rank++) {
            fleet.addTraffic(rank, rate, SECOND / 4, 2 * SECOND, 10 * SECOND);
        }
        fleet.run(4 * SECOND);
        int sentBefore = fleet.sent;
        int fullBefore = fleet.sentToFullEndpoint;
        fleet.run(10 * SECOND);
        double share = (double) (fleet.sentToFullEndpoint - fullBefore) / (fleet.sent - sentBefore);
        assertTrue(share < 0.06, share + " of the requests found their endpoint full");
    }

    /** Neighborship is mutual, covers every dispatcher, and includes all dispatchers of a small tier. */
    @Test
    void neighborsAreFewSymmetricAndNearestByRingPosition() {
        int tierSize = 1000;
        int perSide = ProbePoolNeighbors.NEIGHBORS_PER_SIDE;
        int[] neighborCounts = new int[tierSize];
        for (int each = 0; each < tierSize; each++) {
            int rank = each;
            int[] neighbors = ProbePoolNeighbors.neighborsOf(rank, tierSize, perSide);
            assertEquals(
                    2 * perSide,
                    java.util.Arrays.stream(neighbors)
                            .distinct()
                            .filter(r -> r != rank)
                            .count());
            for (int other : neighbors) {
                neighborCounts[other]++;
                assertTrue(java.util.Arrays.stream(ProbePoolNeighbors.neighborsOf(other, tierSize, perSide))
                        .anyMatch(r -> r == rank));
                double distance =
                        Math.abs(ProbePoolNeighbors.ringPosition(other) - ProbePoolNeighbors.ringPosition(rank));
                assertTrue(
                        Math.min(distance, 1 - distance) < 3.0 * perSide / tierSize,
                        rank + " and " + other + " are not adjacent");
            }
        }
        assertTrue(java.util.Arrays.stream(neighborCounts).allMatch(n -> n == 2 * perSide));
        assertEquals(4, ProbePoolNeighbors.neighborsOf(2, 5, perSide).length);
    }

    /** Guards against ignoring all gossip when one peer sends none: here the third dispatcher is silent. */
    @Test
    void gossipOfOnePeerCountsWhileAnotherIsSilent() {
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
