package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against belief in old reports where peers know better, and in gossip that means other endpoints. */
class LoadGossiperTest {
    private static final long SECOND = 1_000_000_000;

    private static List<Endpoint> fleet(int count) {
        List<Endpoint> fleet = new java.util.ArrayList<>();
        for (int i = count - 1; i >= 0; i--) {
            fleet.add(new Endpoint("w" + i));
        }
        return fleet;
    }

    @Test
    void peerSlotsCountWhileTheirMessageIsRecent() {
        List<Endpoint> theirs = fleet(3);
        Samples.setSlotsInFlight(theirs.get(0), 2);
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(theirs);
        byte[] message = sender.dueMessages(0).get(0);
        assertEquals(List.of(), sender.dueMessages(1), "nothing new");
        byte[] again = sender.dueMessages(SECOND).get(0);
        assertEquals(message.length, again.length, "sent again before it is too old");
        assertArrayEquals(LoadGossipMessage.withSequence(message, 1), again, "with the next number");

        List<Endpoint> ours = fleet(3);
        LoadGossiper receiver = new LoadGossiper(new PeerFaultCounters());
        receiver.replaceEndpoints(ours);
        assertFalse(receiver.receive(1, new byte[] {(byte) 0xD2, 1, 0}, 0));
        assertTrue(receiver.receive(1, message, 0));
        assertTrue(receiver.receive(1, message, 0));
        assertTrue(receiver.receive(2, message, SECOND), "another peer, and the others silent");
        receiver.expire(SECOND);
        assertEquals(4, ours.get(0).inFlight().peerSlots());
        assertEquals(0, ours.get(1).inFlight().peerSlots());
        receiver.expire(SECOND + 1);
        assertEquals(2, ours.get(0).inFlight().peerSlots(), "one is too old");
    }

    /** An idle dispatcher of a large tier would send empty gossip to its peers for nothing, twice a second. */
    @Test
    void anIdleDispatcherSendsItsEmptyLoadOnce() {
        List<Endpoint> theirs = fleet(3);
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(theirs);
        assertEquals(1, sender.dueMessages(0).size());
        assertEquals(List.of(), sender.dueMessages(SECOND));
        Samples.setSlotsInFlight(theirs.get(1), 1);
        assertEquals(1, sender.dueMessages(SECOND + 1).size(), "a change is sent at once");
        Samples.setSlotsInFlight(theirs.get(1), 0);
        assertEquals(1, sender.dueMessages(SECOND + 2).size(), "and that it is over");
        assertEquals(List.of(), sender.dueMessages(3 * SECOND));
    }

    /**
     * An overtaken message would stand for what is no longer held; a damaged one, or entries of endpoints
     * that are not on the list, must change nothing else. Each is counted.
     */
    @Test
    void lateDamagedAndUnlistedMessagesAreCountedAndIgnored() {
        List<Endpoint> theirs = fleet(3);
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(theirs);
        Samples.setSlotsInFlight(theirs.get(2), 2);
        byte[] older = sender.dueMessages(0).get(0);
        Samples.setSlotsInFlight(theirs.get(2), 0);
        Samples.setSlotsInFlight(theirs.get(1), 1);
        byte[] newer = sender.dueMessages(1).get(0);
        PeerFaultCounters heard = new PeerFaultCounters();
        List<Endpoint> ours = fleet(2);
        LoadGossiper receiver = new LoadGossiper(heard);
        receiver.replaceEndpoints(ours);
        assertTrue(receiver.receive(1, newer, 2));
        assertTrue(receiver.receive(1, older, 3));
        assertEquals(
                List.of(1.0, 0.0),
                ours.stream().map(endpoint -> endpoint.inFlight().peerSlots()).toList(),
                "w1 held, the late w0 not");
        assertEquals(new Dispatcher.PeerMessageFaults(0, 1, 0), heard.counts());
        Samples.setSlotsInFlight(theirs.get(0), 1);
        receiver.receive(1, sender.dueMessages(4).get(0), 4);
        assertEquals(new Dispatcher.PeerMessageFaults(0, 1, 1), heard.counts(), "w2 is not on this list");
        assertTrue(receiver.receive(1, new byte[] {(byte) 0xD3, 3, 0x15, 0}, 5));
        assertEquals(new Dispatcher.PeerMessageFaults(1, 1, 1), heard.counts());
        assertEquals(
                List.of(1.0, 0.0),
                ours.stream().map(endpoint -> endpoint.inFlight().peerSlots()).toList());
        assertTrue(receiver.receive(2, older, SECOND), "another peer's first word is no late one");
        assertEquals(
                List.of(1.0, 2.0),
                ours.stream().map(endpoint -> endpoint.inFlight().peerSlots()).toList());
    }

    /** While a release is under way, lists of one length differ: a mark must not mean another endpoint. */
    @Test
    void marksMeanTheSameEndpointsWhateverListThePeerHas() {
        List<Endpoint> theirs = fleet(4);
        theirs.forEach(
                endpoint -> Samples.setSlotsInFlight(endpoint, endpoint.id().equals("w2") ? 1 : 0));
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(theirs);
        List<Endpoint> ours = fleet(5).stream()
                .filter(endpoint -> !endpoint.id().equals("w1"))
                .toList();
        LoadGossiper receiver = new LoadGossiper(new PeerFaultCounters());
        receiver.replaceEndpoints(ours);
        receiver.receive(1, sender.dueMessages(0).get(0), 0);
        ours.forEach(endpoint -> assertEquals(
                endpoint.id().equals("w2") ? 1 : 0, endpoint.inFlight().peerSlots(), endpoint.id()));
    }

    /** Several hundred endpoints in use do not fit in one datagram; what shrinks to fewer leaves nothing behind. */
    @Test
    void largeLoadsAreSplitOverSeveralDatagrams() {
        List<Endpoint> theirs = fleet(600);
        theirs.forEach(endpoint -> Samples.setSlotsInFlight(endpoint, 1));
        LoadGossiper sender = new LoadGossiper(new PeerFaultCounters());
        sender.replaceEndpoints(theirs);
        List<byte[]> messages = sender.dueMessages(0);
        assertTrue(
                messages.size() > 1 && messages.stream().allMatch(n -> n.length <= 256), messages.size() + " messages");
        List<Endpoint> ours = fleet(600);
        LoadGossiper receiver = new LoadGossiper(new PeerFaultCounters());
        receiver.replaceEndpoints(ours);
        messages.forEach(n -> assertTrue(receiver.receive(1, n, 0)));
        double known = ours.stream()
                .mapToDouble(endpoint -> endpoint.inFlight().peerSlots())
                .sum();
        assertTrue(
                known >= 590
                        && ours.stream()
                                .allMatch(endpoint -> endpoint.inFlight().peerSlots() <= 1),
                known + " of 600; those of one mark are out");
        theirs.forEach(endpoint -> Samples.setSlotsInFlight(endpoint, 0));
        sender.dueMessages(1).forEach(n -> receiver.receive(1, n, 1));
        assertEquals(
                0,
                ours.stream()
                        .mapToDouble(endpoint -> endpoint.inFlight().peerSlots())
                        .sum());
        assertTrue(
                receiver.receive(1, new byte[] {(byte) 0xD3, 3, 0x12, 0}, 2),
                "a part beyond its number changes nothing");
        assertEquals(
                0,
                ours.stream()
                        .mapToDouble(endpoint -> endpoint.inFlight().peerSlots())
                        .sum());
    }
}
