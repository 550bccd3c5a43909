package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.decision.State.Worker;

/**
 * What a dispatcher tells the others of its own slots in work at each worker: exact, and as old as a
 * datagram, where a report is a second old. A worker goes by sixteen bits of its id's hash. Danger: by its
 * place in a list, a note would mean other workers at one that was told of a release sooner or later.
 */
final class LoadNote {
    private static final byte MAGIC = (byte) 0xD3;
    private static final byte VERSION = 3;
    private static final int HEAD = 4;
    private static final int NUMBER = 3;
    private static final int ENTRY = 3;
    /** The longest message that may be sent. */
    private static final int MOST = 256;

    private static final int BYTE = 255;
    private static final int PER_NOTE = (MOST - HEAD) / ENTRY;

    /**
     * A note as it came.
     *
     * @param part     which of the datagrams that tell all this is, from 0
     * @param parts    how many there are
     * @param number   of the sending, modulo 256: a note of a lower one is late
     * @param unlisted entries that name no worker of this dispatcher's list
     */
    record Told(int part, int parts, int number, Map<Worker, Integer> slots, int unlisted) {}

    private LoadNote() {}

    /** Sixteen bits that stand for an id, the same in every process. */
    static char mark(String id) {
        int h = id.hashCode() * 0x9e3779b9;
        return (char) (h >>> 16 ^ h);
    }

    /** The workers by their marks; those that share one stand for none of them. */
    static Map<Character, Worker> byMark(List<Worker> workers) {
        Map<Character, Worker> marks = new HashMap<>();
        Set<Character> shared = new HashSet<>();
        for (Worker w : workers) {
            if (marks.put(mark(w.id), w) != null) {
                shared.add(mark(w.id));
            }
        }
        marks.keySet().removeAll(shared);
        return marks;
    }

    /**
     * The messages on all of these workers that hold something, in their order, as many to a datagram as fit;
     * what would need more than fifteen datagrams is left out from the end.
     */
    static List<byte[]> bytes(List<Worker> workers) {
        List<Worker> holding = workers.stream().filter(w -> w.outSlots > 1e-9).toList();
        int parts = Math.min(BYTE / 16, Math.max(1, (holding.size() + PER_NOTE - 1) / PER_NOTE));
        List<byte[]> notes = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int from = part * PER_NOTE;
            int to = Math.min(holding.size(), from + PER_NOTE);
            ByteBuffer b = ByteBuffer.allocate(HEAD + (to - from) * ENTRY);
            b.put(MAGIC).put(VERSION).put((byte) (parts << 4 | part)).put((byte) 0);
            for (Worker w : holding.subList(from, to)) {
                b.putChar(mark(w.id)).put((byte) Math.min(BYTE, Math.ceil(w.outSlots - 1e-9)));
            }
            notes.add(b.array());
        }
        return notes;
    }

    /** Whether these notes tell that nothing is held. */
    static boolean empty(List<byte[]> notes) {
        return notes.size() == 1 && notes.get(0).length == HEAD;
    }

    /** A copy of the note with the number of its sending. */
    static byte[] numbered(byte[] note, int number) {
        byte[] copy = note.clone();
        copy[NUMBER] = (byte) number;
        return copy;
    }

    static boolean is(byte[] data) {
        return data.length >= HEAD
                && data.length <= MOST
                && data[0] == MAGIC
                && data[1] == VERSION
                && (data.length - HEAD) % ENTRY == 0;
    }

    /** Slots in work by worker; workers that this dispatcher's list does not name are passed over. */
    static Told of(byte[] data, Map<Character, Worker> byMark) {
        int parts = (data[2] & BYTE) >> 4;
        int part = data[2] & 0x0F;
        Map<Worker, Integer> slots = new HashMap<>();
        int unlisted = 0;
        ByteBuffer b = ByteBuffer.wrap(data).position(HEAD);
        while (b.hasRemaining()) {
            Worker w = byMark.get(b.getChar());
            int held = b.get() & BYTE;
            if (w != null) {
                slots.put(w, held);
            } else {
                unlisted++;
            }
        }
        return part < parts ? new Told(part, parts, data[NUMBER] & BYTE, slots, unlisted) : null;
    }
}
