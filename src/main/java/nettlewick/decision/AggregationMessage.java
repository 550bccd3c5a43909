package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The datagrams of {@link LoadAggregator}: a byte for version and kind, then entries of a mark and mostly a number. */
final class AggregationMessage {
    /** The most slots that an entry can state. */
    static final int MAX_SLOTS = 255;

    private static final int VERSION = 0xA0;
    private static final int HEADER_BYTES = 1;
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final int BYTE_MASK = 0xFF;

    /** What a datagram's entries state; the order is that of the wire. */
    enum Kind {
        /** Slots in flight from the sender, reported to the owner of each endpoint. */
        IN_FLIGHT,
        /** Endpoints that the sender watches, reported to the owner of each. */
        WATCH,
        /** Slots in flight from others, reported by the owner of each endpoint to a watcher. */
        SUM
    }

    /**
     * One entry.
     *
     * @param mark  the mark of the endpoint's id
     * @param slots slots in flight there; 0 for {@link Kind#WATCH}
     */
    record Entry(char idHash, int slots) {}

    private AggregationMessage() {}

    /** Whether these bytes are a datagram of a kind and length that this version reads. */
    static boolean isAggregationMessage(byte[] data) {
        return data.length > HEADER_BYTES
                && data.length <= MAX_DATAGRAM_BYTES
                && (data[0] & BYTE_MASK) >= VERSION
                && (data[0] & BYTE_MASK) < VERSION + Kind.values().length
                && (data.length - HEADER_BYTES) % entryBytes(kindOf(data)) == 0;
    }

    /** The kind of a datagram that {@link #isAggregationMessage} accepts. */
    static Kind kindOf(byte[] data) {
        return Kind.values()[(data[0] & BYTE_MASK) - VERSION];
    }

    /** The entries of a datagram that {@link #isAggregationMessage} accepts. */
    static List<Entry> decode(byte[] data) {
        boolean hasSlots = kindOf(data) != Kind.WATCH;
        List<Entry> entries = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(data).position(HEADER_BYTES);
        while (buffer.hasRemaining()) {
            entries.add(new Entry(buffer.getChar(), hasSlots ? buffer.get() & BYTE_MASK : 0));
        }
        return entries;
    }

    /** The datagrams with these entries, as many in each as fit. */
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
