package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Codec for the datagrams in which a dispatcher reports the slots that it has in flight at each endpoint. Endpoints
 * are identified by a 16-bit hash of their id: a list index would mean another endpoint at a peer whose list differs.
 */
final class LoadGossipMessage {
    private static final byte MAGIC = (byte) 0xD3;
    private static final byte VERSION = 3;
    private static final int HEADER_BYTES = 4;
    private static final int SEQUENCE_OFFSET = 3;
    private static final int ENTRY_BYTES = 3;
    /** Largest datagram that may be sent. */
    private static final int MAX_MESSAGE_BYTES = 256;

    /** Slot differences below this are rounding errors. */
    private static final double ROUNDING_SLOTS = 1e-9;

    private static final int MAX_SLOTS = 255;
    private static final int MAX_PARTS = 15;
    private static final int BYTE_MASK = 0xFF;
    private static final int ENTRIES_PER_MESSAGE = (MAX_MESSAGE_BYTES - HEADER_BYTES) / ENTRY_BYTES;

    /**
     * A decoded datagram.
     *
     * @param part     index of this datagram among those of the same report, from 0
     * @param parts    number of datagrams of the report
     * @param sequence sequence number of the report, modulo 256; a lower one than the last is late
     * @param unlisted number of entries whose id hash matches no endpoint of this dispatcher's list
     */
    record Received(int part, int parts, int sequence, Map<Endpoint, Integer> slotsInFlight, int unlisted) {}

    private LoadGossipMessage() {}

    /** Returns the 16-bit hash that identifies an endpoint id, the same in every process. */
    static char idHash(String id) {
        int hash = id.hashCode() * 0x9e3779b9;
        return (char) (hash >>> 16 ^ hash);
    }

    /** Returns the endpoints by id hash; endpoints whose hashes collide are left out. */
    static Map<Character, Endpoint> indexByIdHash(List<Endpoint> endpoints) {
        Map<Character, Endpoint> byIdHash = new HashMap<>();
        Set<Character> collisions = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            if (byIdHash.put(idHash(endpoint.id()), endpoint) != null) {
                collisions.add(idHash(endpoint.id()));
            }
        }
        byIdHash.keySet().removeAll(collisions);
        return byIdHash;
    }

    /**
     * Encodes the endpoints with slots in flight, in the given order. Endpoints at the end that would need more than
     * fifteen datagrams are left out.
     */
    static List<byte[]> encode(List<Endpoint> endpoints) {
        List<Endpoint> busy = endpoints.stream()
                .filter(endpoint -> endpoint.inFlight().slots() > ROUNDING_SLOTS)
                .toList();
        int parts = Math.min(MAX_PARTS, Math.max(1, (busy.size() + ENTRIES_PER_MESSAGE - 1) / ENTRIES_PER_MESSAGE));
        List<byte[]> messages = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int from = part * ENTRIES_PER_MESSAGE;
            int to = Math.min(busy.size(), from + ENTRIES_PER_MESSAGE);
            ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + (to - from) * ENTRY_BYTES);
            buffer.put(MAGIC).put(VERSION).put((byte) (parts << 4 | part)).put((byte) 0);
            for (Endpoint endpoint : busy.subList(from, to)) {
                buffer.putChar(idHash(endpoint.id())).put((byte)
                        Math.min(MAX_SLOTS, Math.ceil(endpoint.inFlight().slots() - ROUNDING_SLOTS)));
            }
            messages.add(buffer.array());
        }
        return messages;
    }

    /** Whether these datagrams report no slots in flight. */
    static boolean isEmptyReport(List<byte[]> messages) {
        return messages.size() == 1 && messages.get(0).length == HEADER_BYTES;
    }

    /** Returns a copy of the datagram with the sequence number set. */
    static byte[] withSequence(byte[] message, int sequence) {
        byte[] copy = message.clone();
        copy[SEQUENCE_OFFSET] = (byte) sequence;
        return copy;
    }

    /** Whether the bytes are load gossip of a version and length that this version can decode. */
    static boolean isLoadGossip(byte[] data) {
        return data.length >= HEADER_BYTES
                && data.length <= MAX_MESSAGE_BYTES
                && data[0] == MAGIC
                && data[1] == VERSION
                && (data.length - HEADER_BYTES) % ENTRY_BYTES == 0;
    }

    /** Decodes a datagram; null if it is damaged. Entries whose id hash is unknown here are only counted. */
    static Received decode(byte[] data, Map<Character, Endpoint> byIdHash) {
        int parts = (data[2] & BYTE_MASK) >> 4;
        int part = data[2] & 0x0F;
        Map<Endpoint, Integer> slots = new HashMap<>();
        int unlisted = 0;
        ByteBuffer buffer = ByteBuffer.wrap(data).position(HEADER_BYTES);
        while (buffer.hasRemaining()) {
            Endpoint endpoint = byIdHash.get(buffer.getChar());
            int inFlight = buffer.get() & BYTE_MASK;
            if (endpoint != null) {
                slots.put(endpoint, inFlight);
            } else {
                unlisted++;
            }
        }
        return part < parts ? new Received(part, parts, data[SEQUENCE_OFFSET] & BYTE_MASK, slots, unlisted) : null;
    }
}
