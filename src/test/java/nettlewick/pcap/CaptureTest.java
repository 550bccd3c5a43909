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

/** Capture files are read in all formats, reassembled, reported in one line if damaged, replayed, and written. */
@Timeout(30)
class CaptureTest {
    private static final String FIRST_REQUEST = "POST /api?n=1 HTTP/1.1\r\nX-Request-Id: a\r\nX-Class: step-view\r\n"
            + "X-Deadline: 3\r\nContent-Length: 5\r\n\r\nhello";
    private static final String SECOND_REQUEST =
            FIRST_REQUEST.replace("n=1", "n=2").replace("Id: a", "Id: b");

    /** Builds a capture file packet by packet. */
    private static final class CaptureFileBuilder {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private final ByteOrder order;
        private final boolean nanos;
        private final int link;

        CaptureFileBuilder(ByteOrder order, boolean nanos, int link) {
            this.order = order;
            this.nanos = nanos;
            this.link = link;
            put(ByteBuffer.allocate(24)
                    .order(order)
                    .putInt(nanos ? 0xa1b23c4d : 0xa1b2c3d4)
                    .putShort((short) 2)
                    .putShort((short) 4)
                    .putInt(0)
                    .putInt(0)
                    .putInt(65535)
                    .putInt(link));
        }

        private void put(ByteBuffer b) {
            out.write(b.array(), 0, b.position());
        }

        /** Adds a segment from the client's port, captured at this millisecond. */
        CaptureFileBuilder add(int millis, int port, int seq, int flags, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            ByteBuffer p = ByteBuffer.allocate(100 + bytes.length);
            if (link == 1) {
                p.position(12);
                p.putShort((short) 0x8100).putShort((short) 5).putShort((short) 0x0800);
            } else if (link == 0) {
                p.order(order).putInt(2).order(ByteOrder.BIG_ENDIAN);
            }
            p.putInt(0x45000000 | 40 + bytes.length)
                    .putInt(0)
                    .put((byte) 64)
                    .put((byte) 6)
                    .putShort((short) 0)
                    .putInt(0x7f000001)
                    .putInt(0x7f000002)
                    .putShort((short) port)
                    .putShort((short) 80)
                    .putInt(seq)
                    .putInt(0)
                    .put((byte) 0x50)
                    .put((byte) flags)
                    .putShort((short) 9)
                    .putInt(0)
                    .put(bytes);
            put(ByteBuffer.allocate(16)
                    .order(order)
                    .putInt(1000 + millis / 1000)
                    .putInt(millis % 1000 * (nanos ? 1_000_000 : 1000))
                    .putInt(p.position())
                    .putInt(p.position()));
            put(p);
            return this;
        }

        byte[] bytes() {
            return out.toByteArray();
        }
    }

    private static Capture read(byte[] file) throws IOException {
        return Capture.read(new ByteArrayInputStream(file));
    }

    private static List<String> uris(Capture c) {
        return c.requests().stream().map(RecordedRequest::uri).toList();
    }

    @ParameterizedTest
    @CsvSource({"true,true,1", "true,false,0", "false,true,101", "false,false,1", "true,false,101", "false,true,0"})
    void everyFileFormatIsRead(boolean big, boolean nanos, int link) throws IOException {
        Capture c = read(new CaptureFileBuilder(big ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN, nanos, link)
                .add(0, 9, 99, 2, "")
                .add(10, 9, 100, 16, FIRST_REQUEST)
                .add(1260, 9, 100 + FIRST_REQUEST.length(), 16, SECOND_REQUEST)
                .bytes());
        assertEquals(List.of("/api?n=1", "/api?n=2"), uris(c));
        assertEquals(
                1250,
                c.requests().get(1).capturedAtMillis() - c.requests().get(0).capturedAtMillis(),
                1e-3);
        assertEquals("hello", c.requests().get(0).body().toString());
    }

    /** Segments are repeated, overlap and come out of order, across the wrap of sequence numbers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void segmentsAreReassembledInOrder(long seed) throws IOException {
        Random random = new Random(seed);
        String text = FIRST_REQUEST + SECOND_REQUEST;
        int start = -60;
        List<int[]> pieces = new ArrayList<>();
        for (int at = 0; at < text.length(); at += 1 + random.nextInt(40)) {
            pieces.add(new int[] {at, Math.min(text.length(), at + 40 + random.nextInt(30))});
        }
        List<int[]> shuffled = new ArrayList<>(pieces);
        Collections.shuffle(shuffled, random);
        shuffled.addAll(pieces.subList(0, 3));
        CaptureFileBuilder tape =
                new CaptureFileBuilder(ByteOrder.LITTLE_ENDIAN, false, 101).add(0, 9, start - 1, 2, "");
        shuffled.forEach(p -> tape.add(5, 9, start + p[0], 16, text.substring(p[0], p[1])));
        assertEquals(List.of("/api?n=1", "/api?n=2"), uris(read(tape.bytes())));
    }

    @Test
    void aGapLosesOneRequestOnlyAndAReusedPortIsANewFlow() throws IOException {
        Capture c = read(new CaptureFileBuilder(ByteOrder.LITTLE_ENDIAN, false, 101)
                .add(0, 9, 99, 2, "")
                .add(1, 9, 100, 16, FIRST_REQUEST.substring(0, 30))
                .add(2, 9, 100 + FIRST_REQUEST.length(), 16, SECOND_REQUEST)
                .add(3, 9, 7000, 2, "")
                .add(4, 9, 7001, 16, FIRST_REQUEST.replace("n=1", "n=3"))
                .add(5, 8, 1, 16, "HTTP/1.1 200 OK\r\n\r\n")
                .add(6, 7, 1, 16, "\u0000\u0001 not HTTP")
                .bytes());
        assertEquals(List.of("/api?n=2", "/api?n=3"), uris(c));
        assertEquals(1, c.incompleteCount());
    }

    /** Truncated anywhere or damaged, a file is read without hanging: to its end, or up to an error of one line. */
    @Test
    void aTruncatedFileIsReportedInOneLine() throws IOException {
        byte[] whole = new CaptureFileBuilder(ByteOrder.BIG_ENDIAN, true, 1)
                .add(0, 9, 99, 2, "")
                .add(1, 9, 100, 16, FIRST_REQUEST)
                .bytes();
        int refused = 0;
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            try {
                assertTrue(read(cut).requests().isEmpty());
            } catch (CaptureFormatException e) {
                assertFalse(e.getMessage().isBlank() || e.getMessage().contains("\n"), e.getMessage());
                refused++;
            }
        }
        assertEquals(whole.length - 2, refused, "complete only before the first packet and after it");
        for (long seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            byte[] odd = whole.clone();
            for (int i = 0; i < 3; i++) {
                odd[random.nextInt(odd.length)] = (byte) random.nextInt();
            }
            try {
                read(odd);
            } catch (CaptureFormatException e) {
                assertFalse(e.getMessage().contains("\n"));
            }
        }
        assertThrows(CaptureFormatException.class, () -> read("{\"no\":\"capture\"}          ".getBytes()));
    }

    /** The reader reads what the writer wrote, and the replayer submits what was read. */
    @Test
    void servedTrafficIsWrittenReadAndReplayed() throws Exception {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        try (DispatcherOnStubPlatform world = new DispatcherOnStubPlatform()) {
            world.addEndpoint("s-1");
            CaptureWriter writer = new CaptureWriter(file, Clock.system(), 1 << 20);
            int port = world.start(base -> new PlatformFrontend(base, writer))
                    .ports()
                    .get(1);
            var client = world.vertx.createHttpClient(new HttpClientOptions().setDefaultPort(port));
            for (String id : List.of("a", "b")) {
                String body = "x".repeat(3000) + id;
                DispatcherOnStubPlatform.awaitResult(client.request(HttpMethod.POST, port, "127.0.0.1", "/api/" + id)
                        .compose(r -> r.putHeader("X-Request-Id", id)
                                .putHeader("X-Class", "save-run")
                                .putHeader("X-Deadline", "4")
                                .send(body))
                        .compose(r -> r.body()));
            }
        }
        Capture c = read(file.toByteArray());
        assertEquals(List.of("/api/a", "/api/b"), uris(c));
        assertEquals("x".repeat(3000) + "b", c.requests().get(1).body().toString());
        try (DispatcherOnStubPlatform world = new DispatcherOnStubPlatform()) {
            world.addEndpoint("s-1");
            AtomicReference<CaptureReplayer> front = new AtomicReference<>();
            world.start(base -> {
                front.set(new CaptureReplayer(base, c));
                return front.get();
            });
            assertEquals(
                    new CaptureReplayer.Summary(2, 2, 0, 0, 0, 0),
                    DispatcherOnStubPlatform.awaitResult(front.get().whenDone()));
            assertEquals(2, world.receivedRequests.size());
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
