package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The datagrams in which a dispatcher reports the slots that it has in flight at each endpoint. An endpoint goes
 * by sixteen bits of its id's hash: its place in a list would mean another endpoint at a peer whose list differs.
 */
final class LoadGossipMessage {
    private static final byte MAGIC = (byte) 0xD3;
    private static final byte VERSION = 3;
    private static final int HEADER_BYTES = 4;
    private static final int NUMBER_OFFSET = 3;
    private static final int ENTRY_BYTES = 3;
    /** The longest datagram that may be sent. */
    private static final int MAX_MESSAGE_BYTES = 256;

    /** Slots below which a difference is rounding. */
    private static final double ROUNDING_SLOTS = 1e-9;

    private static final int MAX_SLOTS = 255;
    private static final int MAX_PARTS = 15;
    private static final int BYTE_MASK = 0xFF;
    private static final int ENTRIES_PER_MESSAGE = (MAX_MESSAGE_BYTES - HEADER_BYTES) / ENTRY_BYTES;

    /**
     * A datagram as it came.
     *
     * @param part     which of the sender's datagrams this is, from 0
     * @param parts    how many there are
     * @param number   the number of the sending, modulo 256: a lower one than the last is late
     * @param unlisted entries that name no endpoint of this dispatcher's list
     */
    record Received(int part, int parts, int number, Map<Endpoint, Integer> slotsInFlight, int unlisted) {}

    private LoadGossipMessage() {}

    /** Sixteen bits that stand for an id, the same in every process. */
    static char markOf(String id) {
        int hash = id.hashCode() * 0x9e3779b9;
        return (char) (hash >>> 16 ^ hash);
    }

    /** The endpoints by their marks; those that share a mark are in no entry. */
    static Map<Character, Endpoint> indexByMark(List<Endpoint> endpoints) {
        Map<Character, Endpoint> marks = new HashMap<>();
        Set<Character> shared = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            if (marks.put(markOf(endpoint.id()), endpoint) != null) {
                shared.add(markOf(endpoint.id()));
            }
        }
        marks.keySet().removeAll(shared);
        return marks;
    }

    /**
     * The datagrams for those of the endpoints with slots in flight, in their order; what would need more than
     * fifteen datagrams is left out from the end.
     */
    static List<byte[]> encode(List<Endpoint> endpoints) {
        List<Endpoint> holding = endpoints.stream()
                .filter(endpoint -> endpoint.inFlight().slots() > ROUNDING_SLOTS)
                .toList();
        int parts = Math.min(MAX_PARTS, Math.max(1, (holding.size() + ENTRIES_PER_MESSAGE - 1) / ENTRIES_PER_MESSAGE));
        List<byte[]> messages = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int from = part * ENTRIES_PER_MESSAGE;
            int to = Math.min(holding.size(), from + ENTRIES_PER_MESSAGE);
            ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + (to - from) * ENTRY_BYTES);
            buffer.put(MAGIC).put(VERSION).put((byte) (parts << 4 | part)).put((byte) 0);
            for (Endpoint endpoint : holding.subList(from, to)) {
                buffer.putChar(markOf(endpoint.id())).put((byte)
                        Math.min(MAX_SLOTS, Math.ceil(endpoint.inFlight().slots() - ROUNDING_SLOTS)));
            }
            messages.add(buffer.array());
        }
        return messages;
    }

    /** Whether these datagrams report that nothing is in flight. */
    static boolean reportNothing(List<byte[]> messages) {
        return messages.size() == 1 && messages.get(0).length == HEADER_BYTES;
    }

    /** A copy of the datagram with the number of its sending. */
    static byte[] withNumber(byte[] message, int number) {
        byte[] copy = message.clone();
        copy[NUMBER_OFFSET] = (byte) number;
        return copy;
    }

    /** Whether these bytes have the form of load gossip that this version reads. */
    static boolean isLoadGossip(byte[] data) {
        return data.length >= HEADER_BYTES
                && data.length <= MAX_MESSAGE_BYTES
                && data[0] == MAGIC
                && data[1] == VERSION
                && (data.length - HEADER_BYTES) % ENTRY_BYTES == 0;
    }

    /** The datagram's content, null if it is damaged; entries for endpoints without a mark here are only counted. */
    static Received decode(byte[] data, Map<Character, Endpoint> byMark) {
        int parts = (data[2] & BYTE_MASK) >> 4;
        int part = data[2] & 0x0F;
        Map<Endpoint, Integer> slots = new HashMap<>();
        int unlisted = 0;
        ByteBuffer buffer = ByteBuffer.wrap(data).position(HEADER_BYTES);
        while (buffer.hasRemaining()) {
            Endpoint endpoint = byMark.get(buffer.getChar());
            int slotsHeld = buffer.get() & BYTE_MASK;
            if (endpoint != null) {
                slots.put(endpoint, slotsHeld);
            } else {
                unlisted++;
            }
        }
        return part < parts ? new Received(part, parts, data[NUMBER_OFFSET] & BYTE_MASK, slots, unlisted) : null;
    }
}
