package nettlewick.pcap;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Puts one direction of a TCP connection back in order: retransmissions are dropped, segments out of order wait for
 * those before them, and what the capture missed shows as a gap when the flow ends.
 */
final class TcpFlowReassembler {
    /** Takes the bytes in order. */
    interface Sink {
        /** The next bytes, and when the packet that held them was captured. */
        void onBytes(double capturedAtMillis, byte[] bytes);

        /** Bytes are missing here, or no more come. */
        void onGap();
    }

    private record BufferedSegment(double capturedAtMillis, byte[] bytes) {}

    private final Sink sink;
    /** By offset in the stream. */
    private final TreeMap<Long, BufferedSegment> outOfOrder = new TreeMap<>();

    private boolean started;
    /** The sequence number of the next byte to deliver. */
    private int nextSequenceNumber;
    /** The offset in the stream of the next byte to deliver. */
    private long nextOffset;

    TcpFlowReassembler(Sink sink) {
        this.sink = sink;
    }

    /** Whether this segment opens a connection other than the one that this flow holds. */
    boolean isNewConnection(TcpSegment segment) {
        return started && segment.syn() && segment.sequenceNumber() + 1 != nextSequenceNumber - (int) nextOffset;
    }

    void add(TcpSegment segment) {
        int sequenceNumber = segment.syn() ? segment.sequenceNumber() + 1 : segment.sequenceNumber();
        if (!started) {
            started = true;
            nextSequenceNumber = sequenceNumber;
        }
        if (segment.payload().length == 0) {
            return;
        }
        // A signed difference stays right where sequence numbers wrap round.
        long offset = nextOffset + (sequenceNumber - nextSequenceNumber);
        BufferedSegment buffered = outOfOrder.get(offset);
        if (buffered == null || buffered.bytes().length < segment.payload().length) {
            outOfOrder.put(offset, new BufferedSegment(segment.capturedAtMillis(), segment.payload()));
        }
        deliverInOrder();
    }

    private void deliverInOrder() {
        while (!outOfOrder.isEmpty() && outOfOrder.firstKey() <= nextOffset) {
            Map.Entry<Long, BufferedSegment> first = outOfOrder.pollFirstEntry();
            byte[] bytes = first.getValue().bytes();
            long deliveredBytes = nextOffset - first.getKey();
            if (deliveredBytes < bytes.length) {
                byte[] newBytes = Arrays.copyOfRange(bytes, (int) deliveredBytes, bytes.length);
                nextOffset += newBytes.length;
                nextSequenceNumber += newBytes.length;
                sink.onBytes(first.getValue().capturedAtMillis(), newBytes);
            }
        }
    }

    /** No more segments come: what still waits lies behind gaps. */
    void end() {
        while (!outOfOrder.isEmpty()) {
            sink.onGap();
            nextSequenceNumber += (int) (outOfOrder.firstKey() - nextOffset);
            nextOffset = outOfOrder.firstKey();
            deliverInOrder();
        }
        sink.onGap();
    }
}
