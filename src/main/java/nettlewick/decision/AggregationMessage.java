package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Codec for the datagrams of {@link LoadAggregator}: one byte for version and kind, then entries that consist of the
 * hash of an endpoint's id and, except in {@link Kind#WATCH}, a slot count.
 */
final class AggregationMessage {
    /** Largest slot count that fits in the one byte of an entry. */
    static final int MAX_SLOTS = 255;

    private static final int VERSION = 0xA0;
    private static final int HEADER_BYTES = 1;
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final int BYTE_MASK = 0xFF;

    /** The content of a datagram's entries. The ordinal is sent, so the order must not change. */
    enum Kind {
        /** Slots that the sender has in flight, reported to the owner of each endpoint. */
        IN_FLIGHT,
        /** Endpoints whose sums the sender subscribes to, sent to the owner of each. */
        WATCH,
        /** Slots that all other dispatchers have in flight, sent by the owner of each endpoint to a watcher. */
        SUM
    }

    /**
     * One entry.
     *
     * @param idHash the hash of the endpoint's id, by {@link LoadGossipMessage#idHash}
     * @param slots  slots in flight at the endpoint; 0 for {@link Kind#WATCH}
     */
    record Entry(char idHash, int slots) {}

    private AggregationMessage() {}

    /** Whether the bytes are a datagram of a kind and length that this version can decode. */
    static boolean isAggregationMessage(byte[] data) {
        return data.length > HEADER_BYTES
                && data.length <= MAX_DATAGRAM_BYTES
                && (data[0] & BYTE_MASK) >= VERSION
                && (data[0] & BYTE_MASK) < VERSION + Kind.values().length
                && (data.length - HEADER_BYTES) % entryBytes(kindOf(data)) == 0;
    }

    /** Returns the kind of a datagram that {@link #isAggregationMessage} accepts. */
    static Kind kindOf(byte[] data) {
        return Kind.values()[(data[0] & BYTE_MASK) - VERSION];
    }

    /** Decodes the entries of a datagram that {@link #isAggregationMessage} accepts. */
    static List<Entry> decode(byte[] data) {
        boolean hasSlots = kindOf(data) != Kind.WATCH;
        List<Entry> entries = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(data).position(HEADER_BYTES);
        while (buffer.hasRemaining()) {
            entries.add(new Entry(buffer.getChar(), hasSlots ? buffer.get() & BYTE_MASK : 0));
        }
        return entries;
    }

    /** Encodes the entries into as few datagrams as possible. */
    static List<byte[]> encode(Kind kind, List<Entry> entries) {
        List<byte[]> datagrams = new ArrayList<>();
        int entriesPerDatagram = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / entryBytes(kind);
        for (int start = 0; start < entries.size(); start += entriesPerDatagram) {
            List<Entry> batch = entries.subList(start, Math.min(entries.size(), start + entriesPerDatagram));
            ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + batch.size() * entryBytes(kind));
            buffer.put((byte) (VERSION + kind.ordinal()));
            for (Entry entry : batch) {
                buffer.putChar(entry.idHash());
                if (kind != Kind.WATCH) {
                    buffer.put((byte) entry.slots());
                }
            }
            datagrams.add(buffer.array());
        }
        return datagrams;
    }

    private static int entryBytes(Kind kind) {
        return kind == Kind.WATCH ? 2 : 3;
    }
}
