package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.decision.State.Endpoint;

/**
 * What a dispatcher tells the others of its own slots in work at each worker: exact, and as old as a
 * datagram, where a report is a second old. A worker goes by sixteen bits of its id's hash. Danger: by its
 * place in a list, a note would mean other workers at one that was told of a release sooner or later.
 */
final class LoadGossip {
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
    record Told(int part, int parts, int number, Map<Endpoint, Integer> slots, int unlisted) {}

    private LoadGossip() {}

    /** Sixteen bits that stand for an id, the same in every process. */
    static char mark(String id) {
        int h = id.hashCode() * 0x9e3779b9;
        return (char) (h >>> 16 ^ h);
    }

    /** The workers by their marks; those that share one stand for none of them. */
    static Map<Character, Endpoint> byMark(List<Endpoint> endpoints) {
        Map<Character, Endpoint> marks = new HashMap<>();
        Set<Character> shared = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            if (marks.put(mark(endpoint.id), endpoint) != null) {
                shared.add(mark(endpoint.id));
            }
        }
        marks.keySet().removeAll(shared);
        return marks;
    }

    /**
     * The messages on all of these workers that hold something, in their order, as many to a datagram as fit;
     * what would need more than fifteen datagrams is left out from the end.
     */
    static List<byte[]> bytes(List<Endpoint> endpoints) {
        List<Endpoint> holding =
                endpoints.stream().filter(endpoint -> endpoint.outSlots > 1e-9).toList();
        int parts = Math.min(BYTE / 16, Math.max(1, (holding.size() + PER_NOTE - 1) / PER_NOTE));
        List<byte[]> notes = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int from = part * PER_NOTE;
            int to = Math.min(holding.size(), from + PER_NOTE);
            ByteBuffer b = ByteBuffer.allocate(HEAD + (to - from) * ENTRY);
            b.put(MAGIC).put(VERSION).put((byte) (parts << 4 | part)).put((byte) 0);
            for (Endpoint endpoint : holding.subList(from, to)) {
                b.putChar(mark(endpoint.id)).put((byte) Math.min(BYTE, Math.ceil(endpoint.outSlots - 1e-9)));
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
    static Told of(byte[] data, Map<Character, Endpoint> byMark) {
        int parts = (data[2] & BYTE) >> 4;
        int part = data[2] & 0x0F;
        Map<Endpoint, Integer> slots = new HashMap<>();
        int unlisted = 0;
        ByteBuffer b = ByteBuffer.wrap(data).position(HEAD);
        while (b.hasRemaining()) {
            Endpoint endpoint = byMark.get(b.getChar());
            int held = b.get() & BYTE;
            if (endpoint != null) {
                slots.put(endpoint, held);
            } else {
                unlisted++;
            }
        }
        return part < parts ? new Told(part, parts, data[NUMBER] & BYTE, slots, unlisted) : null;
    }
}
