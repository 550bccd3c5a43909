package nettlewick.decision;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What peers have in flight at the endpoints by their {@link LoadGossipMessage}, and when to send this dispatcher's. */
final class LoadGossiper {
    /** Age to which gossip is believed; it is sent at least twice as often while there is anything in flight. */
    private static final long TTL_NANOS = 1_000_000_000;

    /** One of the datagrams that together report the load of a dispatcher. */
    private record PartKey(int rank, int part) {}

    private record ReceivedLoad(Map<Endpoint, Integer> slots, long at, int number) {}

    private final Map<PartKey, ReceivedLoad> received = new HashMap<>();
    private final PeerFaultCounters faults;
    private List<Endpoint> byName = List.of();
    private Map<Character, Endpoint> byMark = Map.of();
    private List<byte[]> lastSent = List.of();
    private long lastSentAt = SchedulerClock.NEVER;
    private int sendings;

    /** Counts in {@code faults} what it ignores. */
    LoadGossiper(PeerFaultCounters faults) {
        this.faults = faults;
    }

    /** Replaces the endpoints that discovery lists as ready. */
    void replaceEndpoints(Collection<Endpoint> ready) {
        byName = ready.stream().sorted(Comparator.comparing(Endpoint::id)).toList();
        byMark = LoadGossipMessage.indexByMark(byName);
    }

    /** The ready endpoints by their marks; those that share a mark are in no entry. */
    Map<Character, Endpoint> endpointsByMark() {
        return byMark;
    }

    /**
     * Takes a peer's datagram over; false if it is no load gossip. A message with a lower number than the last
     * one of that peer has been overtaken and is counted, unless the last one is old: a peer that restarts
     * counts from 0 again.
     */
    boolean receive(int rank, byte[] data, long now) {
        if (!LoadGossipMessage.isLoadGossip(data)) {
            return false;
        }
        LoadGossipMessage.Received message = LoadGossipMessage.decode(data, byMark);
        if (message == null) {
            faults.countDamaged();
            return true;
        }
        PartKey from = new PartKey(rank, message.part());
        ReceivedLoad old = received.get(from);
        int ahead = old == null || now - old.at() >= TTL_NANOS / 2 ? 1 : (byte) (message.number() - old.number());
        if (ahead < 0) {
            faults.countLate();
            return true;
        }
        faults.countUnlisted(message.unlisted());
        withdraw(received.put(from, new ReceivedLoad(message.slotsInFlight(), now, message.number())));
        message.slotsInFlight().forEach((endpoint, held) -> endpoint.inFlight().addPeerSlots(held));
        for (int gone = message.parts(); withdraw(received.remove(new PartKey(rank, gone))); gone++) {
            continue;
        }
        return true;
    }

    /**
     * The datagrams to send now. None if nothing has changed and the last ones are recent or reported nothing
     * in flight: peers forget by themselves what is not sent again.
     */
    List<byte[]> dueMessages(long now) {
        List<byte[]> messages = LoadGossipMessage.encode(byName);
        boolean same = messages.size() == lastSent.size();
        for (int i = 0; same && i < messages.size(); i++) {
            same = Arrays.equals(messages.get(i), lastSent.get(i));
        }
        if (same && (now - lastSentAt <= TTL_NANOS / 2 || LoadGossipMessage.reportNothing(messages))) {
            return List.of();
        }
        lastSent = messages;
        lastSentAt = now;
        int number = sendings++;
        return messages.stream()
                .map(message -> LoadGossipMessage.withNumber(message, number))
                .toList();
    }

    /** Drops the loads of peers that have been silent since. */
    void expire(long now) {
        received.values().removeIf(t -> now - t.at() > TTL_NANOS && withdraw(t));
    }

    private static boolean withdraw(ReceivedLoad old) {
        if (old != null) {
            old.slots().forEach((endpoint, held) -> endpoint.inFlight().addPeerSlots(-held));
        }
        return old != null;
    }
}
