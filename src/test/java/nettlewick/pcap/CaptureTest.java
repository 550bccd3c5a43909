package nettlewick.pcap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import nettlewick.core.Clock;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.net.client.PlatformFrontend;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Capture files are read in all supported formats, reassembled, replayed and written; damaged ones are reported in one
 * line.
 */
@Timeout(30)
class CaptureTest {
    private static final String FIRST_REQUEST = "POST /api?n=1 HTTP/1.1\r\nX-Request-Id: a\r\nX-Class: step-view\r\n"
            + "X-Deadline: 3\r\nContent-Length: 5\r\n\r\nhello";
    private static final String SECOND_REQUEST =
            FIRST_REQUEST.replace("n=1", "n=2").replace("Id: a", "Id: b");

    /** Builds a capture file packet by packet. */
    private static final class CaptureFileBuilder {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private final ByteOrder byteOrder;
        private final boolean nanos;
        private final int linkType;

        CaptureFileBuilder(ByteOrder byteOrder, boolean nanos, int linkType) {
            this.byteOrder = byteOrder;
            this.nanos = nanos;
            this.linkType = linkType;
            put(ByteBuffer.allocate(24)
                    .order(byteOrder)
                    .putInt(nanos ? 0xa1b23c4d : 0xa1b2c3d4)
                    .putShort((short) 2)
                    .putShort((short) 4)
                    .putInt(0)
                    .putInt(0)
                    .putInt(65535)
                    .putInt(linkType));
        }

        private void put(ByteBuffer buffer) {
            out.write(buffer.array(), 0, buffer.position());
        }

        /** Adds a segment from this client port, captured at this millisecond. */
        CaptureFileBuilder add(int millis, int port, int sequenceNumber, int flags, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            ByteBuffer packet = ByteBuffer.allocate(100 + bytes.length);
            if (linkType == 1) {
                packet.position(12);
                packet.putShort((short) 0x8100).putShort((short) 5).putShort((short) 0x0800);
            } else if (linkType == 0) {
                packet.order(byteOrder).putInt(2).order(ByteOrder.BIG_ENDIAN);
            }
            packet.putInt(0x45000000 | 40 + bytes.length)
                    .putInt(0)
                    .put((byte) 64)
                    .put((byte) 6)
                    .putShort((short) 0)
                    .putInt(0x7f000001)
                    .putInt(0x7f000002)
                    .putShort((short) port)
                    .putShort((short) 80)
                    .putInt(sequenceNumber)
                    .putInt(0)
                    .put((byte) 0x50)
                    .put((byte) flags)
                    .putShort((short) 9)
                    .putInt(0)
                    .put(bytes);
            put(ByteBuffer.allocate(16)
                    .order(byteOrder)
                    .putInt(1000 + millis / 1000)
                    .putInt(millis % 1000 * (nanos ? 1_000_000 : 1000))
                    .putInt(packet.position())
                    .putInt(packet.position()));
            put(packet);
            return this;
        }

        byte[] bytes() {
            return out.toByteArray();
        }
    }

    private static Capture read(byte[] file) throws IOException {
        return Capture.read(new ByteArrayInputStream(file));
    }

    private static List<String> uris(Capture capture) {
        return capture.requests().stream().map(RecordedRequest::uri).toList();
    }

    @ParameterizedTest
    @CsvSource({"true,true,1", "true,false,0", "false,true,101", "false,false,1", "true,false,101", "false,true,0"})
    void everyFileFormatIsRead(boolean bigEndian, boolean nanos, int linkType) throws IOException {
        Capture capture =
                read(new CaptureFileBuilder(bigEndian ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN, nanos, linkType)
                        .add(0, 9, 99, 2, "")
                        .add(10, 9, 100, 16, FIRST_REQUEST)
                        .add(1260, 9, 100 + FIRST_REQUEST.length(), 16, SECOND_REQUEST)
                        .bytes());
        assertEquals(List.of("/api?n=1", "/api?n=2"), uris(capture));
        assertEquals(
                1250,
                capture.requests().get(1).capturedAtMillis()
                        - capture.requests().get(0).capturedAtMillis(),
                1e-3);
        assertEquals("hello", capture.requests().get(0).body().toString());
    }

    /** Segments are repeated, overlap and arrive out of order, and the sequence numbers wrap around. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void segmentsAreReassembledInOrder(long seed) throws IOException {
        Random random = new Random(seed);
        String text = FIRST_REQUEST + SECOND_REQUEST;
        int firstSequenceNumber = -60;
        List<int[]> segments = new ArrayList<>();
        for (int offset = 0; offset < text.length(); offset += 1 + random.nextInt(40)) {
            segments.add(new int[] {offset, Math.min(text.length(), offset + 40 + random.nextInt(30))});
        }
        List<int[]> shuffled = new ArrayList<>(segments);
        Collections.shuffle(shuffled, random);
        shuffled.addAll(segments.subList(0, 3));
        CaptureFileBuilder fileBuilder =
                new CaptureFileBuilder(ByteOrder.LITTLE_ENDIAN, false, 101).add(0, 9, firstSequenceNumber - 1, 2, "");
        shuffled.forEach(
                range -> fileBuilder.add(5, 9, firstSequenceNumber + range[0], 16, text.substring(range[0], range[1])));
        assertEquals(List.of("/api?n=1", "/api?n=2"), uris(read(fileBuilder.bytes())));
    }

    /** Guards against leaving out requests whose first line is split across segments. */
    @Test
    void aRequestIsReadWhereverItsFirstLineIsSplit() throws IOException {
        int firstLineLength = FIRST_REQUEST.indexOf("\r\n") + 2;
        for (int cut = 1; cut <= firstLineLength; cut++) {
            Capture capture = read(new CaptureFileBuilder(ByteOrder.LITTLE_ENDIAN, false, 101)
                    .add(0, 9, 99, 2, "")
                    .add(1, 9, 100, 16, FIRST_REQUEST.substring(0, cut))
                    .add(2, 9, 100 + cut, 16, FIRST_REQUEST.substring(cut) + SECOND_REQUEST)
                    .bytes());
            assertEquals(List.of("/api?n=1", "/api?n=2"), uris(capture), "cut at " + cut);
            assertEquals(0, capture.incompleteCount(), "cut at " + cut);
        }
    }

    /** Guards against taking the end of a request that started in a gap for the start of the next one. */
    @Test
    void aRequestIsReadBehindBytesThatLookLikeTheStartOfOne() throws IOException {
        Capture capture = read(new CaptureFileBuilder(ByteOrder.LITTLE_ENDIAN, false, 101)
                .add(1, 9, 100, 16, "TAIL")
                .add(2, 9, 104, 16, FIRST_REQUEST)
                .bytes());
        assertEquals(List.of("/api?n=1"), uris(capture));
    }

    /** Guards against a request that is left out and counted nowhere. */
    @Test
    void aFirstLineThatIsCutOffIsCountedAsIncomplete() throws IOException {
        Capture capture = read(new CaptureFileBuilder(ByteOrder.LITTLE_ENDIAN, false, 101)
                .add(0, 9, 99, 2, "")
                .add(1, 9, 100, 16, FIRST_REQUEST.substring(0, 12))
                .bytes());
        assertEquals(List.of(), uris(capture));
        assertEquals(1, capture.incompleteCount());
    }

    @Test
    void aGapLosesOnlyOneRequestAndAReusedPortIsANewFlow() throws IOException {
        Capture capture = read(new CaptureFileBuilder(ByteOrder.LITTLE_ENDIAN, false, 101)
                .add(0, 9, 99, 2, "")
                .add(1, 9, 100, 16, FIRST_REQUEST.substring(0, 30))
                .add(2, 9, 100 + FIRST_REQUEST.length(), 16, SECOND_REQUEST)
                .add(3, 9, 7000, 2, "")
                .add(4, 9, 7001, 16, FIRST_REQUEST.replace("n=1", "n=3"))
                .add(5, 8, 1, 16, "HTTP/1.1 200 OK\r\n\r\n")
                .add(6, 7, 1, 16, "\u0000\u0001 not HTTP")
                .bytes());
        assertEquals(List.of("/api?n=2", "/api?n=3"), uris(capture));
        assertEquals(1, capture.incompleteCount());
    }

    /**
     * A file that is truncated at any byte or damaged is read without hanging, either to its end or until a one-line
     * error.
     */
    @Test
    void truncatedAndDamagedFilesAreReportedInOneLine() throws IOException {
        byte[] whole = new CaptureFileBuilder(ByteOrder.BIG_ENDIAN, true, 1)
                .add(0, 9, 99, 2, "")
                .add(1, 9, 100, 16, FIRST_REQUEST)
                .bytes();
        int rejectedCount = 0;
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            try {
                assertTrue(read(truncated).requests().isEmpty());
            } catch (CaptureFormatException e) {
                assertFalse(e.getMessage().isBlank() || e.getMessage().contains("\n"), e.getMessage());
                rejectedCount++;
            }
        }
        assertEquals(whole.length - 2, rejectedCount, "valid only if cut right before or right after the first packet");
        for (long seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            byte[] damaged = whole.clone();
            for (int i = 0; i < 3; i++) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            }
            try {
                read(damaged);
            } catch (CaptureFormatException e) {
                assertFalse(e.getMessage().contains("\n"));
            }
        }
        assertThrows(CaptureFormatException.class, () -> read("{\"no\":\"capture\"}          ".getBytes()));
    }

    /** The reader reads the writer's file, and the replayer submits its requests. */
    @Test
    void servedTrafficIsWrittenReadAndReplayed() throws Exception {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        try (DispatcherOnStubPlatform dispatcher = new DispatcherOnStubPlatform()) {
            dispatcher.addEndpoint("s-1");
            CaptureWriter writer = new CaptureWriter(file, Clock.system(), 1 << 20);
            int port = dispatcher
                    .start(environment -> new PlatformFrontend(environment, writer))
                    .ports()
                    .get(1);
            var client = dispatcher.vertx.createHttpClient(new HttpClientOptions().setDefaultPort(port));
            for (String id : List.of("a", "b")) {
                String body = "x".repeat(3000) + id;
                DispatcherOnStubPlatform.awaitResult(client.request(HttpMethod.POST, port, "127.0.0.1", "/api/" + id)
                        .compose(request -> request.putHeader("X-Request-Id", id)
                                .putHeader("X-Class", "step-view")
                                .putHeader("X-Deadline", "4")
                                .send(body))
                        .compose(response -> response.body()));
            }
        }
        Capture capture = read(file.toByteArray());
        assertEquals(List.of("/api/a", "/api/b"), uris(capture));
        assertEquals("x".repeat(3000) + "b", capture.requests().get(1).body().toString());
        try (DispatcherOnStubPlatform dispatcher = new DispatcherOnStubPlatform()) {
            dispatcher.addEndpoint("s-1");
            AtomicReference<CaptureReplayer> replayer = new AtomicReference<>();
            dispatcher.start(environment -> {
                replayer.set(new CaptureReplayer(environment, capture));
                return replayer.get();
            });
            assertEquals(
                    new CaptureReplayer.Summary(2, 2, 0, 0, 0, 0, 0),
                    DispatcherOnStubPlatform.awaitResult(replayer.get().whenDone()));
            assertEquals(2, dispatcher.receivedRequests.size());
        }
    }

    @Test
    void aFullFileStaysReadable() throws IOException {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        CaptureWriter writer = new CaptureWriter(file, Clock.stoppedAt(1000), 24);
        writer.close();
        assertEquals(0, read(file.toByteArray()).requests().size());
        assertEquals(24, file.size());
    }
}
