package nettlewick.pcap;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** The HTTP/1.1 requests in a capture file, in the order of their times. */
public final class Capture {
    /** A file is held in memory as a whole while it is put in order. */
    private static final long MAX_FILE_BYTES = 64L << 20;

    private static final Pattern REQUEST_START =
            Pattern.compile("[A-Z]{3,10} \\S+ HTTP/1\\.[01]\\r\\n.*", Pattern.DOTALL);

    private final List<RecordedRequest> requests = new ArrayList<>();
    private final Map<String, TcpFlowReassembler> flows = new LinkedHashMap<>();
    private int incompleteCount;

    private Capture() {}

    public static Capture read(Path file) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new CaptureFormatException(file + " is not a file");
        }
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new CaptureFormatException(file + " is larger than " + (MAX_FILE_BYTES >> 20) + " MiB");
        }
        try (InputStream in = Files.newInputStream(file)) {
            return read(in);
        }
    }

    static Capture read(InputStream in) throws IOException {
        CaptureReader reader = new CaptureReader(in);
        if (!TcpSegment.isSupportedLinkType(reader.linkType())) {
            throw new CaptureFormatException("packets of link type " + reader.linkType() + " cannot be read");
        }
        Capture capture = new Capture();
        reader.readPackets((at, packet) -> {
            TcpSegment s = TcpSegment.parse(reader.linkType(), at, packet);
            if (s != null) {
                capture.addSegment(s);
            }
        });
        capture.flows.values().forEach(TcpFlowReassembler::end);
        capture.requests.sort(Comparator.comparingDouble(RecordedRequest::capturedAtMillis));
        return capture;
    }

    List<RecordedRequest> requests() {
        return requests;
    }

    /** Requests of which some bytes are missing or make no sense. */
    int incompleteCount() {
        return incompleteCount;
    }

    private void addSegment(TcpSegment s) {
        TcpFlowReassembler flow = flows.get(s.flow());
        if (flow != null && flow.isNewConnection(s)) {
            // A port that is used anew.
            flow.end();
            flow = null;
        }
        if (flow == null) {
            flow = new TcpFlowReassembler(new HttpRequestExtractor());
            flows.put(s.flow(), flow);
        }
        flow.add(s);
    }

    /** Takes the requests out of one flow. */
    private final class HttpRequestExtractor implements TcpFlowReassembler.Sink {
        private EmbeddedChannel decoder;
        private HttpRequest head;
        private Buffer body = Buffer.buffer();

        @Override
        public void onBytes(double at, byte[] bytes) {
            if (decoder == null) {
                // The other direction, another protocol, or the rest of a request that began in a gap.
                if (!REQUEST_START
                        .matcher(new String(bytes, StandardCharsets.ISO_8859_1))
                        .matches()) {
                    return;
                }
                decoder = new EmbeddedChannel(new HttpRequestDecoder());
            }
            decoder.writeInbound(Unpooled.wrappedBuffer(bytes));
            for (HttpObject part = decoder.readInbound(); part != null; part = decoder.readInbound()) {
                if (part.decoderResult().isFailure()) {
                    incompleteCount++;
                    decoder = null;
                    head = null;
                    return;
                }
                take(at, part);
            }
        }

        private void take(double at, HttpObject part) {
            if (part instanceof HttpRequest request) {
                head = request;
                body = Buffer.buffer();
            }
            if (part instanceof HttpContent content) {
                byte[] more = new byte[content.content().readableBytes()];
                content.content().readBytes(more);
                content.release();
                body.appendBytes(more);
            }
            if (part instanceof LastHttpContent && head != null) {
                MultiMap headers = MultiMap.caseInsensitiveMultiMap();
                head.headers().forEach(h -> headers.add(h.getKey(), h.getValue()));
                requests.add(new RecordedRequest(at, head.method().name(), head.uri(), headers, body));
                head = null;
            }
        }

        @Override
        public void onGap() {
            boolean cut = head != null;
            if (decoder != null) {
                // At its end the decoder tells of a head that it has seen in part only.
                decoder.finish();
                for (HttpObject part = decoder.readInbound(); part != null; part = decoder.readInbound()) {
                    cut |= part.decoderResult().isFailure();
                }
            }
            incompleteCount += cut ? 1 : 0;
            decoder = null;
            head = null;
        }
    }
}
