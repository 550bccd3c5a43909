package nettlewick.pcap;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The HTTP/1.1 requests in a capture file, ordered by time. Immutable after reading. */
public final class Capture {
    /** The requests of a file are held in memory, so its size is limited. */
    private static final long MAX_FILE_BYTES = 64L << 20;

    private static final int MEBIBYTE_SHIFT = 20;

    private final List<RecordedRequest> requests = new ArrayList<>();
    private final Map<String, TcpFlowReassembler> flows = new LinkedHashMap<>();
    private int incompleteCount;

    private Capture() {}

    /**
     * Reads a capture file.
     *
     * @throws CaptureFormatException if the file is not a supported capture file, is too large, or is truncated
     */
    public static Capture read(Path file) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new CaptureFormatException(file + " is not a file");
        }
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new CaptureFormatException(file + " is larger than " + (MAX_FILE_BYTES >> MEBIBYTE_SHIFT) + " MiB");
        }
        try (InputStream in = Files.newInputStream(file)) {
            return read(in);
        }
    }

    static Capture read(InputStream in) throws IOException {
        CaptureReader reader = new CaptureReader(in);
        LinkType linkType = LinkType.ofCode(reader.linkType());
        if (linkType == null) {
            throw new CaptureFormatException("link type " + reader.linkType() + " is not supported");
        }
        TcpSegmentParser parser = new TcpSegmentParser(linkType);
        Capture capture = new Capture();
        reader.readPackets((capturedAtMillis, packet) -> {
            TcpSegment segment = parser.parse(capturedAtMillis, packet);
            if (segment != null) {
                capture.addSegment(segment);
            }
        });
        capture.flows.values().forEach(TcpFlowReassembler::end);
        capture.requests.sort(Comparator.comparingDouble(RecordedRequest::capturedAtMillis));
        return capture;
    }

    List<RecordedRequest> requests() {
        return Collections.unmodifiableList(requests);
    }

    /** The number of requests with missing bytes or malformed syntax. */
    int incompleteCount() {
        return incompleteCount;
    }

    private void addSegment(TcpSegment segment) {
        TcpFlowReassembler flow = flows.get(segment.flow());
        if (flow != null && flow.isNewConnection(segment)) {
            // The client has reused its port for a new connection.
            flow.end();
            flow = null;
        }
        if (flow == null) {
            flow = new TcpFlowReassembler(new HttpRequestExtractor(requests::add, () -> incompleteCount++));
            flows.put(segment.flow(), flow);
        }
        flow.add(segment);
    }
}
