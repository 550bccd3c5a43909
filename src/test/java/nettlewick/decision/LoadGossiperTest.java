package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Exchange of load gossip: expiry, order of messages, splitting, and identification of endpoints. */
class LoadGossiperTest {
    private static final long SECOND = 1_000_000_000;

    private static List<Endpoint> endpoints(int count) {
        List<Endpoint> endpoints = new java.util.ArrayList<>();
        for (int i = count - 1; i >= 0; i--) {
            endpoints.add(new Endpoint("w" + i));
        }
        return endpoints;
    }

    @Test
    void peerSlotsCountWhileTheirMessageIsRecent() {
        List<Endpoint> peerEndpoints = endpoints(3);
        Samples.setSlotsInFlight(peerEndpoints.get(0), 2);
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(peerEndpoints);
        byte[] message = sender.dueMessages(0).get(0);
        assertEquals(List.of(), sender.dueMessages(1), "the load is unchanged");
        byte[] again = sender.dueMessages(SECOND).get(0);
        assertEquals(message.length, again.length, "refreshed before it expires");
        assertArrayEquals(LoadGossipMessage.withSequence(message, 1), again, "with the next sequence number");

        List<Endpoint> ownEndpoints = endpoints(3);
        LoadGossiper receiver = new LoadGossiper(new PeerFaultCounters());
        receiver.replaceEndpoints(ownEndpoints);
        assertFalse(receiver.receive(1, new byte[] {(byte) 0xD2, 1, 0}, 0));
        assertTrue(receiver.receive(1, message, 0));
        assertTrue(receiver.receive(1, message, 0));
        assertTrue(receiver.receive(2, message, SECOND), "from another peer");
        receiver.expire(SECOND);
        assertEquals(4, ownEndpoints.get(0).inFlight().peerSlots());
        assertEquals(0, ownEndpoints.get(1).inFlight().peerSlots());
        receiver.expire(SECOND + 1);
        assertEquals(2, ownEndpoints.get(0).inFlight().peerSlots(), "the message of one peer has expired");
    }

    /** Guards against an idle dispatcher sending empty gossip to its peers twice a second. */
    @Test
    void anIdleDispatcherSendsItsEmptyLoadOnce() {
        List<Endpoint> peerEndpoints = endpoints(3);
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(peerEndpoints);
        assertEquals(1, sender.dueMessages(0).size());
        assertEquals(List.of(), sender.dueMessages(SECOND));
        Samples.setSlotsInFlight(peerEndpoints.get(1), 1);
        assertEquals(1, sender.dueMessages(SECOND + 1).size(), "a change is sent at once");
        Samples.setSlotsInFlight(peerEndpoints.get(1), 0);
        assertEquals(1, sender.dueMessages(SECOND + 2).size(), "the end of the load is sent at once");
        assertEquals(List.of(), sender.dueMessages(3 * SECOND));
    }

    /**
     * Guards against a late message restoring load that has ended, and against damaged messages or entries for
     * unlisted endpoints changing anything else. Each of them is counted.
     */
    @Test
    void lateDamagedAndUnlistedMessagesAreCountedAndIgnored() {
        List<Endpoint> peerEndpoints = endpoints(3);
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(peerEndpoints);
        Samples.setSlotsInFlight(peerEndpoints.get(2), 2);
        byte[] earlier = sender.dueMessages(0).get(0);
        Samples.setSlotsInFlight(peerEndpoints.get(2), 0);
        Samples.setSlotsInFlight(peerEndpoints.get(1), 1);
        byte[] later = sender.dueMessages(1).get(0);
        PeerFaultCounters faults = new PeerFaultCounters();
        List<Endpoint> ownEndpoints = endpoints(2);
        LoadGossiper receiver = new LoadGossiper(faults);
        receiver.replaceEndpoints(ownEndpoints);
        assertTrue(receiver.receive(1, later, 2));
        assertTrue(receiver.receive(1, earlier, 3));
        assertEquals(
                List.of(1.0, 0.0),
                ownEndpoints.stream()
                        .map(endpoint -> endpoint.inFlight().peerSlots())
                        .toList(),
                "w1 is loaded; the late message for w0 was ignored");
        assertEquals(new Dispatcher.PeerMessageFaults(0, 1, 0), faults.counts());
        Samples.setSlotsInFlight(peerEndpoints.get(0), 1);
        receiver.receive(1, sender.dueMessages(4).get(0), 4);
        assertEquals(new Dispatcher.PeerMessageFaults(0, 1, 1), faults.counts(), "w2 is not on this list");
        assertTrue(receiver.receive(1, new byte[] {(byte) 0xD3, 3, 0x15, 0}, 5));
        assertEquals(new Dispatcher.PeerMessageFaults(1, 1, 1), faults.counts());
        assertEquals(
                List.of(1.0, 0.0),
                ownEndpoints.stream()
                        .map(endpoint -> endpoint.inFlight().peerSlots())
                        .toList());
        assertTrue(receiver.receive(2, earlier, SECOND), "sequence numbers of different peers are independent");
        assertEquals(
                List.of(1.0, 2.0),
                ownEndpoints.stream()
                        .map(endpoint -> endpoint.inFlight().peerSlots())
                        .toList());
    }

    /** Guards against an id hash meaning another endpoint while lists differ during a rolling update. */
    @Test
    void idHashesIdentifyEndpointsWhateverListThePeerHas() {
        List<Endpoint> peerEndpoints = endpoints(4);
        peerEndpoints.forEach(
                endpoint -> Samples.setSlotsInFlight(endpoint, endpoint.id().equals("w2") ? 1 : 0));
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(peerEndpoints);
        List<Endpoint> ownEndpoints = endpoints(5).stream()
                .filter(endpoint -> !endpoint.id().equals("w1"))
                .toList();
        LoadGossiper receiver = new LoadGossiper(new PeerFaultCounters());
        receiver.replaceEndpoints(ownEndpoints);
        receiver.receive(1, sender.dueMessages(0).get(0), 0);
        ownEndpoints.forEach(endpoint -> assertEquals(
                endpoint.id().equals("w2") ? 1 : 0, endpoint.inFlight().peerSlots(), endpoint.id()));
    }

    /** A load too large for one datagram is split, and a later report of fewer datagrams replaces all earlier ones. */
    @Test
    void largeLoadsAreSplitOverSeveralDatagrams() {
        List<Endpoint> peerEndpoints = endpoints(600);
        peerEndpoints.forEach(endpoint -> Samples.setSlotsInFlight(endpoint, 1));
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(peerEndpoints);
        List<byte[]> messages = sender.dueMessages(0);
        assertTrue(
                messages.size() > 1 && messages.stream().allMatch(message -> message.length <= 256),
                messages.size() + " messages");
        List<Endpoint> ownEndpoints = endpoints(600);
        LoadGossiper receiver = new LoadGossiper(new PeerFaultCounters());
        receiver.replaceEndpoints(ownEndpoints);
        messages.forEach(message -> assertTrue(receiver.receive(1, message, 0)));
        double known = ownEndpoints.stream()
                .mapToDouble(endpoint -> endpoint.inFlight().peerSlots())
                .sum();
        assertTrue(
                known >= 590
                        && ownEndpoints.stream()
                                .allMatch(endpoint -> endpoint.inFlight().peerSlots() <= 1),
                known + " of 600; only those with colliding hashes may be missing");
        peerEndpoints.forEach(endpoint -> Samples.setSlotsInFlight(endpoint, 0));
        sender.dueMessages(1).forEach(message -> receiver.receive(1, message, 1));
        assertEquals(
                0,
                ownEndpoints.stream()
                        .mapToDouble(endpoint -> endpoint.inFlight().peerSlots())
                        .sum());
        assertTrue(
                receiver.receive(1, new byte[] {(byte) 0xD3, 3, 0x12, 0}, 2),
                "a part index beyond the number of parts has no effect");
        assertEquals(
                0,
                ownEndpoints.stream()
                        .mapToDouble(endpoint -> endpoint.inFlight().peerSlots())
                        .sum());
    }
}
