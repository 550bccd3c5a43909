package nettlewick.pcap;

import java.util.Map;
import java.util.TreeMap;

/**
 * One direction of a TCP connection put back in order: retransmissions drop out, what came out of order waits
 * for its turn, and what the capture missed shows as a gap when the flow ends.
 */
final class TcpFlowReassembler {
    /** Takes the bytes in order. */
    interface Sink {
        /** {@code at} is when the packet that held these bytes was captured. */
        void onBytes(double at, byte[] bytes);

        /** Bytes are missing here, or no more come. */
        void onGap();
    }

    private record Piece(double capturedAtMillis, byte[] bytes) {}

    private final Sink sink;
    private final TreeMap<Long, Piece> outOfOrder = new TreeMap<>();
    private boolean started;
    /** Sequence number and place in the stream of the next byte that is wanted. */
    private int nextSequence;

    private long nextOffset;

    TcpFlowReassembler(Sink sink) {
        this.sink = sink;
    }

    /** Whether this segment opens a connection other than the one that this flow holds. */
    boolean isNewConnection(TcpSegment s) {
        return started && s.syn() && s.sequence() + 1 != nextSequence - (int) nextOffset;
    }

    void add(TcpSegment s) {
        int seq = s.syn() ? s.sequence() + 1 : s.sequence();
        if (!started) {
            started = true;
            nextSequence = seq;
        }
        if (s.payload().length == 0) {
            return;
        }
        // Sequence numbers wrap round; the difference as a signed number does not mind.
        long place = nextOffset + (seq - nextSequence);
        Piece old = outOfOrder.get(place);
        if (old == null || old.bytes().length < s.payload().length) {
            outOfOrder.put(place, new Piece(s.capturedAtMillis(), s.payload()));
        }
        deliverInOrder();
    }

    private void deliverInOrder() {
        while (!outOfOrder.isEmpty() && outOfOrder.firstKey() <= nextOffset) {
            Map.Entry<Long, Piece> first = outOfOrder.pollFirstEntry();
            byte[] bytes = first.getValue().bytes();
            long known = nextOffset - first.getKey();
            if (known < bytes.length) {
                byte[] fresh = java.util.Arrays.copyOfRange(bytes, (int) known, bytes.length);
                nextOffset += fresh.length;
                nextSequence += fresh.length;
                sink.onBytes(first.getValue().capturedAtMillis(), fresh);
            }
        }
    }

    /** No more comes: what still waits lies behind gaps. */
    void end() {
        while (!outOfOrder.isEmpty()) {
            sink.onGap();
            nextSequence += (int) (outOfOrder.firstKey() - nextOffset);
            nextOffset = outOfOrder.firstKey();
            deliverInOrder();
        }
        sink.onGap();
    }
}
