package nettlewick.pcap;

import java.util.Map;
import java.util.TreeMap;

/**
 * One direction of a TCP connection put back in order: retransmissions drop out, what came out of order waits
 * for its turn, and what the capture missed shows as a gap when the flow ends.
 */
final class TcpFlow {
    /** Takes the bytes in order. */
    interface Sink {
        /** {@code at} is when the packet that held these bytes was captured. */
        void bytes(double at, byte[] bytes);

        /** Bytes are missing here, or no more come. */
        void gap();
    }

    private record Piece(double at, byte[] bytes) {}

    private final Sink sink;
    private final TreeMap<Long, Piece> waiting = new TreeMap<>();
    private boolean begun;
    /** Sequence number and place in the stream of the next byte that is wanted. */
    private int nextSeq;

    private long next;

    TcpFlow(Sink sink) {
        this.sink = sink;
    }

    /** Whether this segment opens a connection other than the one that this flow holds. */
    boolean isAnother(TcpSegment s) {
        return begun && s.syn() && s.seq() + 1 != nextSeq - (int) next;
    }

    void take(TcpSegment s) {
        int seq = s.syn() ? s.seq() + 1 : s.seq();
        if (!begun) {
            begun = true;
            nextSeq = seq;
        }
        if (s.payload().length == 0) {
            return;
        }
        // Sequence numbers wrap round; the difference as a signed number does not mind.
        long place = next + (seq - nextSeq);
        Piece old = waiting.get(place);
        if (old == null || old.bytes().length < s.payload().length) {
            waiting.put(place, new Piece(s.at(), s.payload()));
        }
        drain();
    }

    private void drain() {
        while (!waiting.isEmpty() && waiting.firstKey() <= next) {
            Map.Entry<Long, Piece> first = waiting.pollFirstEntry();
            byte[] bytes = first.getValue().bytes();
            long known = next - first.getKey();
            if (known < bytes.length) {
                byte[] fresh = java.util.Arrays.copyOfRange(bytes, (int) known, bytes.length);
                next += fresh.length;
                nextSeq += fresh.length;
                sink.bytes(first.getValue().at(), fresh);
            }
        }
    }

    /** No more comes: what still waits lies behind gaps. */
    void end() {
        while (!waiting.isEmpty()) {
            sink.gap();
            nextSeq += (int) (waiting.firstKey() - next);
            next = waiting.firstKey();
            drain();
        }
        sink.gap();
    }
}
