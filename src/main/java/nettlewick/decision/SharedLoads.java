package nettlewick.decision;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What all dispatchers hold at the workers, by their notes to one another. */
final class SharedLoads {
    /** Age to which a note is believed; one is sent at least twice as often. */
    private static final long TTL_NANOS = 1_000_000_000;

    /** A part of what a dispatcher tells. */
    private record PartKey(int rank, int part) {}

    private record ReceivedLoad(Map<Endpoint, Integer> slots, long at, int number) {}

    private final Map<PartKey, ReceivedLoad> received = new HashMap<>();
    private final PeerFaultCounters faults;
    private List<Endpoint> byName = List.of();
    private Map<Character, Endpoint> byMark = Map.of();
    private List<byte[]> lastSent = List.of();
    private long lastSentAt = SchedulerClock.NEVER;
    private int sendings;

    /** Counts into {@code heard} what it passes over. */
    SharedLoads(PeerFaultCounters heard) {
        this.faults = heard;
    }

    void replaceEndpoints(Collection<Endpoint> ready) {
        byName = ready.stream().sorted(Comparator.comparing(Endpoint::id)).toList();
        byMark = LoadGossip.indexByMark(byName);
    }

    /** The ready workers by their marks; those that share one stand for none of them. */
    Map<Character, Endpoint> endpointsByMark() {
        return byMark;
    }

    /**
     * Takes a peer's note over; false if these bytes are none. Danger: a note that another has overtaken
     * would stand for what is no longer held until the next. One of a lower number than the last is passed
     * over while that one is young; a peer that starts anew counts from 0, and is heard once its last life's
     * word is old.
     */
    boolean receive(int rank, byte[] data, long now) {
        if (!LoadGossip.isLoadGossip(data)) {
            return false;
        }
        LoadGossip.Received note = LoadGossip.decode(data, byMark);
        if (note == null) {
            faults.countDamaged();
            return true;
        }
        PartKey from = new PartKey(rank, note.part());
        ReceivedLoad old = received.get(from);
        int ahead = old == null || now - old.at() >= TTL_NANOS / 2 ? 1 : (byte) (note.number() - old.number());
        if (ahead < 0) {
            faults.countLate();
            return true;
        }
        faults.countUnlisted(note.unlisted());
        withdraw(received.put(from, new ReceivedLoad(note.slotsInFlight(), now, note.number())));
        note.slotsInFlight().forEach((endpoint, held) -> endpoint.inFlight().addPeerSlots(held));
        for (int gone = note.parts(); withdraw(received.remove(new PartKey(rank, gone))); gone++) {
            continue;
        }
        return true;
    }

    /**
     * The notes to send now; none if nothing has changed and the last ones are young, or said that nothing
     * is held: peers forget what was told by the time it would be repeated, and an idle dispatcher sends
     * nothing.
     */
    List<byte[]> dueMessages(long now) {
        List<byte[]> notes = LoadGossip.encode(byName);
        boolean same = notes.size() == lastSent.size();
        for (int i = 0; same && i < notes.size(); i++) {
            same = Arrays.equals(notes.get(i), lastSent.get(i));
        }
        if (same && (now - lastSentAt <= TTL_NANOS / 2 || LoadGossip.reportNothing(notes))) {
            return List.of();
        }
        lastSent = notes;
        lastSentAt = now;
        int number = sendings++;
        return notes.stream().map(note -> LoadGossip.withNumber(note, number)).toList();
    }

    /** Leaves out what peers said that have been silent since. */
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
