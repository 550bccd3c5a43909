package nettlewick.pcap;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reassembles one direction of a TCP connection. Retransmissions are dropped, out-of-order segments are buffered until
 * the preceding ones arrive, and bytes missing in the capture are reported as gaps when the flow ends.
 */
final class TcpFlowReassembler {
    /** Receives the bytes in order. */
    interface Sink {
        /** Receives the next bytes, with the time at which their packet was captured. */
        void onBytes(double capturedAtMillis, byte[] bytes);

        /** Called where bytes are missing, and at the end of the flow. */
        void onGap();
    }

    private record BufferedSegment(double capturedAtMillis, byte[] bytes) {}

    private final Sink sink;
    /** Buffered segments by their offset in the stream. */
    private final TreeMap<Long, BufferedSegment> outOfOrder = new TreeMap<>();

    private boolean started;
    /** The sequence number of the next byte to deliver. */
    private int nextSequenceNumber;
    /** The offset in the stream of the next byte to deliver. */
    private long nextOffset;

    TcpFlowReassembler(Sink sink) {
        this.sink = sink;
    }

    /** Whether a segment opens another connection than the one that this flow belongs to. */
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
        // The signed difference is correct even if the sequence numbers wrap around.
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

    /** Ends the flow. Segments that are still buffered lie behind gaps. */
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
