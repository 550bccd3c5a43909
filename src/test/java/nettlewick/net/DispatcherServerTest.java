package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import nettlewick.net.config.DescriptorBudget;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.format.JsonFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A whole dispatcher on loopback, with a stub platform. */
@Timeout(30)
class DispatcherServerTest {
    private static final Buffer HEALTH = Buffer.buffer("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    private DispatcherOnStubPlatform platform;

    @BeforeEach
    void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
    }

    @AfterEach
    void close() throws Exception {
        platform.close();
    }

    /** Starts a dispatcher with these endpoints and waits until it is healthy. */
    private int startHealthy(String... endpoints) throws Exception {
        for (String endpoint : endpoints) {
            platform.addEndpoint(endpoint);
        }
        int port = platform.start().ports().get(0);
        waitUntil(() -> send(port, HEALTH).startsWith("HTTP/1.1 200"));
        return port;
    }

    /** Sends bytes and reads one response, to the end of its body or of the connection. */
    private static String send(int port, Buffer bytes) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(bytes.getBytes());
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            for (int b = socket.getInputStream().read();
                    b >= 0;
                    b = socket.getInputStream().read()) {
                received.write(b);
                String text = received.toString(StandardCharsets.ISO_8859_1);
                int head = text.indexOf("\r\n\r\n");
                if (head > 0 && text.length() - head - 4 == contentLength(text)) {
                    break;
                }
            }
            return received.toString(StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "broken: " + e;
        }
    }

    private static int contentLength(String text) {
        int headerIndex = text.toLowerCase(Locale.ROOT).indexOf("content-length: ");
        return headerIndex < 0
                ? -1
                : Integer.parseInt(text.substring(headerIndex + 16, text.indexOf("\r\n", headerIndex)));
    }

    @Test
    void forwardsUnchangedPartsByteForByte() throws Exception {
        int port = startHealthy("s-1");
        String uri = "/api/x%2Fy?a=1&&b=%7e+";
        String response = send(port, requestBytes(uri, "00Ab", "save-run", "{\"x\": 1}", "Idempotency-Key: K-1"));
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.endsWith("\r\n\r\nr-00Ab"), response);
        assertEquals(List.of("s-1 POST " + uri + " 00Ab K-1 {\"x\": 1}"), platform.receivedRequests);
    }

    @Test
    void rejectsInvalidRequestsBeforeAnyEndpoint() throws Exception {
        int port = startHealthy("s-1");
        List<String> statuses = new ArrayList<>();
        String oversizedBody = "x".repeat(64 * 1024 + 1);
        for (Buffer invalidRequest : List.of(
                Buffer.buffer("NONSENSE\r\n\r\n"),
                requestBytes("/api", "1", "step-view", oversizedBody),
                requestBytes("/other", "1", "step-view", ""),
                Buffer.buffer("GET /api HTTP/1.1\r\nHost: x\r\n\r\n"),
                requestBytes("/api", "1", "no-class", ""),
                requestBytes("/api", "1", "step-view", "", "X-Cost-Hint: z"),
                requestBytes("/api", "1", "step-view", "", "X-Request-Id: 2"),
                Buffer.buffer(requestBytes("/api", "1", "step-view", "")
                        .toString()
                        .replace("X-Deadline: 4", "X-Deadline: 5d")),
                Buffer.buffer("POST /api HTTP/1.1\r\nX-Class: step-view\r\nContent-Length: 0\r\n\r\n"))) {
            statuses.add(send(port, invalidRequest).replaceAll("(?s)HTTP/1.. (\\d+).*", "$1"));
        }
        assertEquals(List.of("400", "413", "404", "405", "400", "400", "400", "400", "400"), statuses);
        assertTrue(send(port, requestBytes("/api", "ok", "step-view", "")).contains("r-ok"));
        assertEquals(1, platform.receivedRequests.size());
    }

    /**
     * Guards against many clients that send one request or none and stay connected: they must not displace active
     * clients.
     */
    @Test
    void idleClientsAreEvictedBeforeSocketsRunOut() throws Exception {
        platform.addEndpoint("s-1");
        Map<String, Object> config = platform.config();
        config.put("limits", Map.of("sockets", 90));
        int port = platform.start(config).ports().get(0);
        waitUntil(() -> send(port, HEALTH).startsWith("HTTP/1.1 200"));
        List<Socket> idleClients = new ArrayList<>();
        try (Socket activeClient = new Socket("127.0.0.1", port)) {
            for (int i = 0; i < 120; i++) {
                idleClients.add(new Socket("127.0.0.1", port));
                if (i % 40 == 0) {
                    activeClient
                            .getOutputStream()
                            .write(requestBytes("/api", "u" + i, "step-view", "")
                                    .getBytes());
                    assertTrue(activeClient.getInputStream().read(new byte[4096]) > 0, "still connected, and served");
                }
            }
            for (Socket idleClient : idleClients.subList(0, 90)) {
                assertEquals(-1, idleClient.getInputStream().read(), "closed to make room");
            }
        } finally {
            for (Socket idleClient : idleClients) {
                idleClient.close();
            }
        }
    }

    @Test
    void healthCheckFailsUntilAListIsReceived() throws Exception {
        Map<String, Object> config = platform.config();
        config.put("discovery", "127.0.0.1:1");
        int port = platform.start(config).ports().get(0);
        assertTrue(send(port, HEALTH).contains(" 503 "));
    }

    @Test
    void retriesOnlyWhatIsIdempotentOnceItMayHaveRun() throws Exception {
        int port = startHealthy("s-1", "s-2", "s-3");
        platform.requestOverride = request -> request.connection().close();
        assertTrue(send(port, requestBytes("/api", "m", "mark-submit", "")).contains(" 502 "));
        assertEquals(
                1,
                platform.receivedRequests.stream()
                        .filter(s -> s.contains(" m "))
                        .count());
        send(port, requestBytes("/api", "v", "step-view", ""));
        assertTrue(
                platform.receivedRequests.stream()
                                .filter(s -> s.contains(" v "))
                                .count()
                        > 1,
                platform.receivedRequests.toString());
    }

    /**
     * Guards against resets of idle connections: a probe is sent again, and a request uses a new connection, so that a
     * mark-submit does not fail because its connection was already dead.
     */
    @Test
    void usesNewConnectionsWhileIdleOnesBreak() throws Exception {
        platform.resetReusedConnections = true;
        int port = startHealthy("s-1", "s-2");
        waitUntil(() -> platform.resetCount.get() > 3);
        for (int i = 0; i < 20; i++) {
            assertTrue(send(port, requestBytes("/api", "m" + i, "mark-submit", "{}"))
                    .endsWith("r-m" + i));
        }
    }

    @Test
    void requestThatNeverRanIsRetriedElsewhere() throws Exception {
        int port = startHealthy("s-1", "s-2", "s-3");
        platform.requestOverride = request -> {
            platform.requestOverride = null;
            request.response().setStatusCode(503).putHeader("X-Not-Run", "1").end();
        };
        assertTrue(send(port, requestBytes("/api", "m", "mark-submit", "")).contains("r-m"));
        assertEquals(2, platform.receivedRequests.size());
    }

    @Test
    void drainingEndpointGetsNothingNewAndABrokenWatchResumes() throws Exception {
        int port = startHealthy("s-1");
        platform.resetWatches();
        waitUntil(() -> platform.discoveryRequests.size() == 2);
        assertTrue(platform.discoveryRequests.get(1).endsWith("after=2"), platform.discoveryRequests.toString());
        platform.addEndpoint("s-2");
        platform.announceHealth("s-1", "Terminating");
        waitUntil(() -> send(port, requestBytes("/api", "a" + System.nanoTime(), "step-view", ""))
                        .contains(" 200 ")
                && platform.receivedRequests
                        .get(platform.receivedRequests.size() - 1)
                        .startsWith("s-2"));
        int before = platform.receivedRequests.size();
        for (int i = 0; i < 5; i++) {
            send(port, requestBytes("/api", "b" + i, "step-view", ""));
        }
        assertTrue(
                platform.receivedRequests.subList(before, before + 5).stream().allMatch(s -> s.startsWith("s-2")));
    }

    @Test
    void completeListReplacesTheKnownOne() throws Exception {
        int port = startHealthy("s-1", "s-2");
        platform.removeFromDiscovery("s-1");
        platform.resetWatches();
        waitUntil(() -> platform.discoveryRequests.size() == 2);
        platform.announceHealth("s-2", "Ready");
        waitUntil(() -> send(port, requestBytes("/api", "a" + System.nanoTime(), "step-view", ""))
                        .contains(" 200 ")
                && platform.receivedRequests
                        .get(platform.receivedRequests.size() - 1)
                        .startsWith("s-2"));
        int before = platform.receivedRequests.size();
        for (int i = 0; i < 8; i++) {
            send(port, requestBytes("/api", "b" + i, "step-view", ""));
        }
        assertEquals(
                8,
                platform.receivedRequests.stream()
                        .skip(before)
                        .filter(s -> s.startsWith("s-2"))
                        .count());
    }

    /**
     * A machine that has disappeared: connections to it are never established, and a request that waits for one never
     * ran.
     */
    @Test
    void requestWhoseConnectionTimesOutIsRetriedElsewhere() throws Exception {
        List<Socket> queuedConnections = new ArrayList<>();
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            // The accept queue of a listener that accepts nothing is full after two connections: further ones get no
            // reply.
            for (int i = 0; i < 2; i++) {
                queuedConnections.add(new Socket("127.0.0.1", unresponsive.getLocalPort()));
            }
            platform.addEndpoint("s-0", unresponsive.getLocalPort());
            int port = startHealthy("s-1");
            for (int i = 0; i < 12; i++) {
                double before = System.nanoTime();
                assertTrue(send(port, requestBytes("/api", "m" + i, "mark-submit", ""))
                        .contains("r-m" + i));
                assertTrue(System.nanoTime() - before < 1.5e9, "the connect timeout of 200 ms applies");
            }
            assertEquals(12, platform.receivedRequests.size());
        } finally {
            for (Socket s : queuedConnections) {
                s.close();
            }
        }
    }

    @Test
    void gracefulShutdownAnswersAllAcceptedRequests() throws Exception {
        platform.addEndpoint("s-1");
        platform.executionMillis = 1200;
        DispatcherServer dispatcher = platform.start();
        int port = dispatcher.ports().get(0);
        waitUntil(() -> send(port, HEALTH).startsWith("HTTP/1.1 200"));
        CompletableFuture<String> inFlight =
                CompletableFuture.supplyAsync(() -> send(port, requestBytes("/api", "t", "mark-submit", "")));
        waitUntil(() -> platform.receivedRequests.size() == 1);
        try (Socket idle = new Socket("127.0.0.1", port);
                Socket open = new Socket("127.0.0.1", port)) {
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(dispatcher::shutDown);
            waitUntil(() -> send(port, HEALTH).contains(" 503 "));
            String late = send(port, requestBytes("/api", "late", "step-view", ""));
            assertTrue(late.endsWith("r-late"), "still accepting: " + late);
            // Closing open connections at once would interrupt service for clients that have no other server.
            waitUntil(() -> send(port, HEALTH).startsWith("broken"));
            platform.executionMillis = 20;
            open.getOutputStream()
                    .write(requestBytes("/api", "kept", "step-view", "").getBytes());
            byte[] response = new byte[4096];
            String received = new String(response, 0, open.getInputStream().read(response), StandardCharsets.US_ASCII);
            assertTrue(received.endsWith("r-kept"), "served on an open connection: " + received);
            assertEquals(-1, idle.getInputStream().read(), "the idle connection is closed");
            assertTrue(inFlight.get().endsWith("r-t"), inFlight.get());
            shutdown.get();
        }
        assertTrue(send(port, requestBytes("/api", "x", "step-view", "")).startsWith("broken"));
    }

    /**
     * Guards against keeping the old address or its sequence numbers, and against serving without a list while the new
     * service is silent.
     */
    @Test
    void servesFromTheKnownListWhileDiscoveryMoves() throws Exception {
        int port = startHealthy("s-1");
        DispatcherServer dispatcher = platform.dispatcher();
        Map<String, Object> config = platform.config();
        String originalConfig = new Gson().toJson(config);
        try (DispatcherOnStubPlatform otherPlatform = new DispatcherOnStubPlatform()) {
            config.put("discovery", "127.0.0.1:1");
            config.put("name", "n9");
            PlatformConfig moved = PlatformConfig.parse(new Gson().toJson(config), Map.of());
            assertEquals(
                    List.of("name"),
                    PlatformConfig.parse(originalConfig, Map.of()).restartOnlyChanges(moved));
            dispatcher.reload(moved);
            waitUntil(() -> dispatcher.discovery().port() == 1);
            assertTrue(
                    send(port, requestBytes("/api", "a", "step-view", "")).endsWith("r-a"),
                    "served from the current list");
            otherPlatform.addEndpoint("s-2");
            dispatcher.reload(PlatformConfig.parse(new Gson().toJson(otherPlatform.config()), Map.of()));
            waitUntil(() -> otherPlatform.discoveryRequests.size() == 1);
            assertEquals("/catalog/members?watch=1", otherPlatform.discoveryRequests.get(0));
            waitUntil(() -> send(port, requestBytes("/api", "b" + System.nanoTime(), "step-view", ""))
                            .contains(" 200 ")
                    && otherPlatform.receivedRequests.size() > 0);
        }
    }

    @Test
    void reloadedFileOverridesTheEnvironment(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("c"), new Gson().toJson(platform.config()));
        Map<String, String> environment = Map.of("ROUTER_CONFIG", file.toString(), "ROUTER_DISCOVERY", "127.0.0.9:9");
        assertEquals(9, PlatformConfig.load(environment).discovery().port());
        assertNotEquals(9, PlatformConfig.reload(environment).discovery().port());
        Files.writeString(file, "{");
        assertThrows(JsonFields.InvalidFieldException.class, () -> PlatformConfig.reload(environment));
    }

    @Test
    void descriptorsAreDividedBelowTheirLimit() {
        for (int sockets : new int[] {256, 384, 1024}) {
            int remaining = sockets - sockets / 3 - DescriptorBudget.maxEndpointConnections(sockets);
            assertTrue(remaining >= 64 && remaining < 70, sockets + " leave " + remaining);
        }
    }

    @Test
    void oneInvalidEntryDoesNotAffectTheOthers() throws Exception {
        platform.addEndpoint("s-1");
        platform.announceHealth("s-0", "Odd");
        int port = platform.start().ports().get(0);
        waitUntil(() -> send(port, HEALTH).startsWith("HTTP/1.1 200"));
        assertTrue(send(port, requestBytes("/api", "a", "step-view", "")).endsWith("r-a"));
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        Map<String, Object> config = platform.config();
        config.put("listen", "localhost:80\n80");
        String line = assertThrows(
                        JsonFields.InvalidFieldException.class,
                        () -> PlatformConfig.parse(new Gson().toJson(config), Map.of()))
                .getMessage();
        assertTrue(line.contains("listen") && line.contains("localhost:80"), line);
        assertFalse(line.contains("\n"), line);
    }
}
