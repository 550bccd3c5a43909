package nettlewick.decision;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tracks the slots that peers report in flight at each endpoint, and decides when to send this dispatcher's own. */
final class LoadGossiper {
    /** Age at which gossip expires. While slots are in flight, it is sent at least twice as often. */
    private static final long TTL_NANOS = 1_000_000_000;

    /** Identifies one of the datagrams that together report the load of a dispatcher. */
    private record PartKey(int rank, int part) {}

    private record ReceivedLoad(Map<Endpoint, Integer> slots, long receivedAt, int sequence) {}

    private final Map<PartKey, ReceivedLoad> received = new HashMap<>();
    private final PeerFaultCounters faults;
    private List<Endpoint> sortedById = List.of();
    private Map<Character, Endpoint> byIdHash = Map.of();
    private List<byte[]> lastSent = List.of();
    private long lastSentAt = SchedulerClock.NEVER;
    private int nextSequence;

    /** Creates an instance that counts ignored messages and entries in {@code faults}. */
    LoadGossiper(PeerFaultCounters faults) {
        this.faults = faults;
    }

    /** Replaces the endpoints that discovery lists as ready. */
    void replaceEndpoints(Collection<Endpoint> ready) {
        sortedById = ready.stream().sorted(Comparator.comparing(Endpoint::id)).toList();
        byIdHash = LoadGossipMessage.indexByIdHash(sortedById);
    }

    /** Returns the ready endpoints by id hash; endpoints whose hashes collide are left out. */
    Map<Character, Endpoint> endpointsByIdHash() {
        return byIdHash;
    }

    /**
     * Processes a peer's datagram; returns false if it is no load gossip. A message with a lower sequence number than
     * the last one of that peer arrived out of order and is only counted as late. The check is skipped if the last
     * message is old, since a restarted peer starts from sequence number 0 again.
     */
    boolean receive(int rank, byte[] data, long now) {
        if (!LoadGossipMessage.isLoadGossip(data)) {
            return false;
        }
        LoadGossipMessage.Received message = LoadGossipMessage.decode(data, byIdHash);
        if (message == null) {
            faults.countDamaged();
            return true;
        }
        PartKey from = new PartKey(rank, message.part());
        ReceivedLoad previous = received.get(from);
        int sequenceAdvance = previous == null || now - previous.receivedAt() >= TTL_NANOS / 2
                ? 1
                : (byte) (message.sequence() - previous.sequence());
        if (sequenceAdvance < 0) {
            faults.countLate();
            return true;
        }
        faults.countUnlisted(message.unlisted());
        subtract(received.put(from, new ReceivedLoad(message.slotsInFlight(), now, message.sequence())));
        message.slotsInFlight().forEach((endpoint, slots) -> endpoint.inFlight().addPeerSlots(slots));
        for (int stalePart = message.parts(); subtract(received.remove(new PartKey(rank, stalePart))); stalePart++) {
            continue;
        }
        return true;
    }

    /**
     * Returns the datagrams to send now. There are none if the load is unchanged and the last report is either recent
     * or empty, because reports that are not refreshed expire at peers.
     */
    List<byte[]> dueMessages(long now) {
        List<byte[]> messages = LoadGossipMessage.encode(sortedById);
        boolean isUnchanged = messages.size() == lastSent.size();
        for (int i = 0; isUnchanged && i < messages.size(); i++) {
            isUnchanged = Arrays.equals(messages.get(i), lastSent.get(i));
        }
        if (isUnchanged && (now - lastSentAt <= TTL_NANOS / 2 || LoadGossipMessage.isEmptyReport(messages))) {
            return List.of();
        }
        lastSent = messages;
        lastSentAt = now;
        int sequence = nextSequence++;
        return messages.stream()
                .map(message -> LoadGossipMessage.withSequence(message, sequence))
                .toList();
    }

    /** Drops the loads received from peers that have not refreshed them in time. */
    void expire(long now) {
        received.values().removeIf(load -> now - load.receivedAt() > TTL_NANOS && subtract(load));
    }

    private static boolean subtract(ReceivedLoad load) {
        if (load != null) {
            load.slots().forEach((endpoint, slots) -> endpoint.inFlight().addPeerSlots(-slots));
        }
        return load != null;
    }
}
