package nettlewick.sse;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import nettlewick.core.Clock;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.settings.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that read the end of their stream late, on loopback and with a clock that the test advances. */
@Timeout(60)
class SlowStreamReaderTest {
    private static final double START_MILLIS = System.currentTimeMillis();
    private static final int RECEIVE_BUFFER_BYTES = 2048;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final String END_OF_RESPONSE = "0\r\n\r\n";
    /** The block that a stream starts with, so that its client can reconnect. */
    private static final String BEGINNING_OF_STREAM = "id: 0\n\n";

    /** Characters of a result that is larger than what the socket and the write queue hold. */
    private static final int LARGE_RESULT = 120_000;

    private DispatcherOnStubPlatform platform;
    private HttpClient httpClient;
    private int port;

    @BeforeEach
    void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
        httpClient = EventStreamClient.newHttpClient(platform.vertx);
        platform.clock = Clock.stoppedAt(START_MILLIS);
        platform.addEndpoint("s-1");
    }

    private void start(String retention) throws Exception {
        EventStreamConfig config = EventStreamConfig.of(
                Settings.parse("test", "edge {\nlisten 127.0.0.1:0\nmax-readers 2\n" + retention + "\n}")
                        .block("edge")
                        .get());
        port = platform.start(environment -> new EventStreamFrontend(environment, config))
                .ports()
                .get(1);
    }

    @AfterEach
    void close() {
        platform.close();
    }

    /**
     * Opens a connection with a small receive buffer on which only the beginning of the stream is read, and waits for
     * the stream's end. The endpoint responds once this client and the one that watches for the end are both attached:
     * the second of them could otherwise come after the end of a stream that is not retained.
     */
    private Socket openUnreadStream(int progressLines, int resultLength) throws Exception {
        CompletableFuture<HttpServerRequest> received = new CompletableFuture<>();
        platform.requestOverride = received::complete;
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.getOutputStream()
                .write(requestBytes("/api", "s", "step-view", "").getBytes());
        readBeginningOfStream(socket);
        EventStreamClient other = new EventStreamClient(platform.vertx, port, "s", "step-view");
        other.post(httpClient);
        waitUntil(() -> other.rawText.contains(BEGINNING_OF_STREAM));
        HttpServerRequest request = received.get(10, TimeUnit.SECONDS);
        platform.vertx.runOnContext(v -> respond(request, progressLines, resultLength));
        other.ended.get(10, TimeUnit.SECONDS);
        assertEquals("result", other.lastEvent().name());
        return socket;
    }

    private static void respond(HttpServerRequest request, int progressLines, int resultLength) {
        request.response().setChunked(true);
        for (int i = 0; i < progressLines; i++) {
            request.response().write("{\"state\":\"running\",\"share\":0.25}\n");
        }
        request.response().end("{\"state\":\"done\",\"result\":\"" + "x".repeat(resultLength) + "\"}\n");
    }

    private static void readBeginningOfStream(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(BEGINNING_OF_STREAM) < 0) {
            int b = socket.getInputStream().read();
            assertTrue(b >= 0, "the stream did not begin: " + text);
            text.append((char) b);
        }
    }

    /** Advances the clock and waits until the frontend has checked its connections at the new time. */
    private void advanceTo(double millis) throws Exception {
        try (Socket idle = new Socket("127.0.0.1", port)) {
            idle.setSoTimeout(READ_TIMEOUT_MILLIS);
            // Answered with 204, so that the connection is registered before the clock is advanced.
            idle.getOutputStream()
                    .write("GET /events/s HTTP/1.1\r\nHost: x\r\nLast-Event-ID: 1000000\r\n\r\n".getBytes());
            assertTrue(idle.getInputStream().read() >= 0);
            platform.clock.advanceTo(START_MILLIS + millis);
            // An idle connection that was served no result is closed by the check.
            idle.getInputStream().readAllBytes();
        }
    }

    /** Waits until the stream is no longer retained. */
    private void awaitForgotten() throws Exception {
        int status = 0;
        while (status != 404) {
            EventStreamClient late = new EventStreamClient(platform.vertx, port, "s", "step-view").lastSeen(1_000_000);
            late.get(httpClient).ended.get(10, TimeUnit.SECONDS);
            status = late.status;
        }
    }

    /** Reads until the end of the response or of the connection. */
    private static String readRemaining(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        try {
            InputStream in = socket.getInputStream();
            byte[] part = new byte[4096];
            for (int n = in.read(part); n > 0; n = in.read(part)) {
                text.append(new String(part, 0, n, StandardCharsets.ISO_8859_1));
                if (text.toString().endsWith(END_OF_RESPONSE)) {
                    break;
                }
            }
        } catch (SocketException e) {
            text.append("reset");
        }
        return text.toString();
    }

    /**
     * The end of the smaller results waits in the connection's write queue, that of the larger ones in the subscriber;
     * the boundary depends on the kernel.
     */
    @ParameterizedTest
    @ValueSource(
            ints = {
                36_000,
                40_000,
                42_000,
                44_000,
                46_000,
                48_000,
                52_000,
                56_000,
                60_000,
                64_000,
                68_000,
                72_000,
                LARGE_RESULT
            })
    void aClientThatPausesReceivesTheWholeFinalEvent(int resultLength) throws Exception {
        start("keep 30s");
        try (Socket socket = openUnreadStream(0, resultLength)) {
            advanceTo(7000);
            String text = readRemaining(socket);
            assertTrue(text.contains("event: result"), text);
            assertTrue(text.endsWith(END_OF_RESPONSE), "cut off after " + text.length());
        }
    }

    /** Otherwise clients that never read would use up the connections that may read streams. */
    @ParameterizedTest
    @ValueSource(ints = {0, 5_000})
    void aClientThatNeverReadsIsDisconnectedOnceItsStreamIsForgotten(int progressLines) throws Exception {
        start("keep 30s");
        try (Socket socket = openUnreadStream(progressLines, LARGE_RESULT)) {
            advanceTo(31_000);
            awaitForgotten();
            platform.requestOverride = null;
            EventStreamClient first = new EventStreamClient(platform.vertx, port, "first", "step-view");
            EventStreamClient second = new EventStreamClient(platform.vertx, port, "second", "step-view");
            platform.executionMillis = 500;
            first.post(httpClient);
            second.post(httpClient);
            first.ended.get(10, TimeUnit.SECONDS);
            second.ended.get(10, TimeUnit.SECONDS);
            assertEquals(List.of(200, 200), List.of(first.status, second.status));
            assertFalse(readRemaining(socket).endsWith(END_OF_RESPONSE));
        }
    }

    /** Guards against closing the subscribers of a stream that is not retained while they read its final event. */
    @ParameterizedTest
    @ValueSource(strings = {"keep-streams 0", "keep 1ms"})
    void aLargeFinalEventIsDeliveredThoughItsStreamIsNotRetained(String retention) throws Exception {
        start(retention);
        try (Socket socket = openUnreadStream(0, LARGE_RESULT)) {
            assertTrue(readRemaining(socket).endsWith(END_OF_RESPONSE));
        }
    }
}
