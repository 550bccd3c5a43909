package nettlewick.decision;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.State.Worker;

/** What all dispatchers hold at the workers, by their notes to one another. */
final class SharedLoads {
    /** Age to which a note is believed; one is sent at least twice as often. */
    private static final long BELIEVED = 1_000_000_000;

    private record Told(Map<Worker, Integer> slots, long at) {
    }

    private final Map<Integer, Told> told = new HashMap<>();
    private List<Worker> byName = List.of();
    private byte[] last = new byte[0];
    private long lastAt = State.NEVER;

    void list(Collection<Worker> ready) {
        byName = ready.stream().sorted(Comparator.comparing(w -> w.id)).toList();
    }

    /** Takes a peer's note over; false if these bytes are none. */
    boolean hear(int rank, byte[] data, long now) {
        if (!LoadNote.is(data)) {
            return false;
        }
        Map<Worker, Integer> slots = LoadNote.of(data, byName);
        if (slots != null) {
            forget(told.put(rank, new Told(slots, now)));
            slots.forEach((w, held) -> w.others += held);
        }
        return true;
    }

    /** The note to send now; null if nothing has changed and the last one is young. */
    byte[] news(long now) {
        byte[] note = LoadNote.bytes(byName);
        if (Arrays.equals(note, last) && now - lastAt <= BELIEVED / 2) {
            return null;
        }
        last = note;
        lastAt = now;
        return note;
    }

    /** Leaves out what peers said that have been silent since. */
    void expire(long now) {
        told.values().removeIf(t -> {
            boolean old = now - t.at() > BELIEVED;
            if (old) {
                forget(t);
            }
            return old;
        });
    }

    private static void forget(Told old) {
        if (old != null) {
            old.slots().forEach((w, held) -> w.others -= held);
        }
    }
}
