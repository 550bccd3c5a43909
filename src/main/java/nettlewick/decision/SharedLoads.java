package nettlewick.decision;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.State.Endpoint;

/** What all dispatchers hold at the workers, by their notes to one another. */
final class SharedLoads {
    /** Age to which a note is believed; one is sent at least twice as often. */
    private static final long BELIEVED = 1_000_000_000;

    /** A part of what a dispatcher tells. */
    private record From(int rank, int part) {}

    private record Told(Map<Endpoint, Integer> slots, long at, int number) {}

    private final Map<From, Told> told = new HashMap<>();
    private final PeerFaultCounters heard;
    private List<Endpoint> byName = List.of();
    private Map<Character, Endpoint> byMark = Map.of();
    private List<byte[]> last = List.of();
    private long lastAt = State.NEVER;
    private int sendings;

    /** Counts into {@code heard} what it passes over. */
    SharedLoads(PeerFaultCounters heard) {
        this.heard = heard;
    }

    void list(Collection<Endpoint> ready) {
        byName = ready.stream()
                .sorted(Comparator.comparing(endpoint -> endpoint.id))
                .toList();
        byMark = LoadGossip.byMark(byName);
    }

    /** The ready workers by their marks; those that share one stand for none of them. */
    Map<Character, Endpoint> byMark() {
        return byMark;
    }

    /**
     * Takes a peer's note over; false if these bytes are none. Danger: a note that another has overtaken
     * would stand for what is no longer held until the next. One of a lower number than the last is passed
     * over while that one is young; a peer that starts anew counts from 0, and is heard once its last life's
     * word is old.
     */
    boolean hear(int rank, byte[] data, long now) {
        if (!LoadGossip.is(data)) {
            return false;
        }
        LoadGossip.Told note = LoadGossip.of(data, byMark);
        if (note == null) {
            heard.damaged++;
            return true;
        }
        From from = new From(rank, note.part());
        Told old = told.get(from);
        int ahead = old == null || now - old.at() >= BELIEVED / 2 ? 1 : (byte) (note.number() - old.number());
        if (ahead < 0) {
            heard.late++;
            return true;
        }
        heard.unlisted += note.unlisted();
        forget(told.put(from, new Told(note.slots(), now, note.number())));
        note.slots().forEach((endpoint, held) -> endpoint.others += held);
        for (int gone = note.parts(); forget(told.remove(new From(rank, gone))); gone++) {
            continue;
        }
        return true;
    }

    /**
     * The notes to send now; none if nothing has changed and the last ones are young, or said that nothing
     * is held: peers forget what was told by the time it would be repeated, and an idle dispatcher sends
     * nothing.
     */
    List<byte[]> news(long now) {
        List<byte[]> notes = LoadGossip.bytes(byName);
        boolean same = notes.size() == last.size();
        for (int i = 0; same && i < notes.size(); i++) {
            same = Arrays.equals(notes.get(i), last.get(i));
        }
        if (same && (now - lastAt <= BELIEVED / 2 || LoadGossip.empty(notes))) {
            return List.of();
        }
        last = notes;
        lastAt = now;
        int number = sendings++;
        return notes.stream().map(note -> LoadGossip.numbered(note, number)).toList();
    }

    /** Leaves out what peers said that have been silent since. */
    void expire(long now) {
        told.values().removeIf(t -> now - t.at() > BELIEVED && forget(t));
    }

    private static boolean forget(Told old) {
        if (old != null) {
            old.slots().forEach((endpoint, held) -> endpoint.others -= held);
        }
        return old != null;
    }
}
