package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.until;
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

/** A whole dispatcher on loopback, between stand-ins. */
@Timeout(30)
class DispatcherServerTest {
    private static final Buffer HEALTH = Buffer.buffer("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    private DispatcherOnStubPlatform world;

    @BeforeEach
    void open() throws Exception {
        world = new DispatcherOnStubPlatform();
    }

    @AfterEach
    void close() throws Exception {
        world.close();
    }

    /** Starts a dispatcher with these runners and waits until it is healthy. */
    private int startHealthy(String... endpoints) throws Exception {
        for (String endpoint : endpoints) {
            world.addRunner(endpoint);
        }
        int port = world.start().ports().get(0);
        until(() -> send(port, HEALTH).startsWith("HTTP/1.1 200"));
        return port;
    }

    /** Sends bytes and reads one answer: to the end of its body, or of the connection. */
    private static String send(int port, Buffer bytes) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(bytes.getBytes());
            ByteArrayOutputStream got = new ByteArrayOutputStream();
            for (int b = socket.getInputStream().read();
                    b >= 0;
                    b = socket.getInputStream().read()) {
                got.write(b);
                String text = got.toString(StandardCharsets.ISO_8859_1);
                int head = text.indexOf("\r\n\r\n");
                if (head > 0 && text.length() - head - 4 == length(text)) {
                    break;
                }
            }
            return got.toString(StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "broken: " + e;
        }
    }

    private static int length(String text) {
        int at = text.toLowerCase(Locale.ROOT).indexOf("content-length: ");
        return at < 0 ? -1 : Integer.parseInt(text.substring(at + 16, text.indexOf("\r\n", at)));
    }

    @Test
    void forwardsUnchangedPartsByteForByte() throws Exception {
        int port = startHealthy("s-1");
        String uri = "/api/x%2Fy?a=1&&b=%7e+";
        String answer = send(port, requestBytes(uri, "00Ab", "save-run", "{\"x\": 1}", "Idempotency-Key: K-1"));
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.endsWith("\r\n\r\nr-00Ab"), answer);
        assertEquals(List.of("s-1 POST " + uri + " 00Ab K-1 {\"x\": 1}"), world.seen);
    }

    @Test
    void rejectsInvalidRequestsBeforeAnyEndpoint() throws Exception {
        int port = startHealthy("s-1");
        List<String> answers = new ArrayList<>();
        String big = "x".repeat(64 * 1024 + 1);
        for (Buffer bad : List.of(
                Buffer.buffer("NONSENSE\r\n\r\n"),
                requestBytes("/api", "1", "step-view", big),
                requestBytes("/other", "1", "step-view", ""),
                Buffer.buffer("GET /api HTTP/1.1\r\nHost: x\r\n\r\n"),
                requestBytes("/api", "1", "no-class", ""),
                requestBytes("/api", "1", "step-view", "", "X-Cost-Hint: z"),
                requestBytes("/api", "1", "step-view", "", "X-Request-Id: 2"),
                Buffer.buffer(requestBytes("/api", "1", "step-view", "")
                        .toString()
                        .replace("X-Deadline: 4", "X-Deadline: 5d")),
                Buffer.buffer("POST /api HTTP/1.1\r\nX-Class: step-view\r\nContent-Length: 0\r\n\r\n"))) {
            answers.add(send(port, bad).replaceAll("(?s)HTTP/1.. (\\d+).*", "$1"));
        }
        assertEquals(List.of("400", "413", "404", "405", "400", "400", "400", "400", "400"), answers);
        assertTrue(send(port, requestBytes("/api", "ok", "step-view", "")).contains("r-ok"));
        assertEquals(1, world.seen.size());
    }

    /** Guards against a crowd that asks once, or nothing, and stays: it must not drive out those who work. */
    @Test
    void idleClientsAreEvictedBeforeSocketsRunOut() throws Exception {
        world.addRunner("s-1");
        Map<String, Object> config = world.config();
        config.put("limits", Map.of("sockets", 90));
        int port = world.start(config).ports().get(0);
        until(() -> send(port, HEALTH).startsWith("HTTP/1.1 200"));
        List<Socket> crowd = new ArrayList<>();
        try (Socket usual = new Socket("127.0.0.1", port)) {
            for (int i = 0; i < 120; i++) {
                crowd.add(new Socket("127.0.0.1", port));
                if (i % 40 == 0) {
                    usual.getOutputStream()
                            .write(requestBytes("/api", "u" + i, "step-view", "")
                                    .getBytes());
                    assertTrue(usual.getInputStream().read(new byte[4096]) > 0, "still connected, and served");
                }
            }
            for (Socket member : crowd.subList(0, 90)) {
                assertEquals(-1, member.getInputStream().read(), "closed to make way");
            }
        } finally {
            for (Socket member : crowd) {
                member.close();
            }
        }
    }

    @Test
    void healthCheckFailsUntilAListIsReceived() throws Exception {
        Map<String, Object> config = world.config();
        config.put("discovery", "127.0.0.1:1");
        int port = world.start(config).ports().get(0);
        assertTrue(send(port, HEALTH).contains(" 503 "));
    }

    @Test
    void retriesOnlyWhatIsIdempotentOnceItMayHaveRun() throws Exception {
        int port = startHealthy("s-1", "s-2", "s-3");
        world.instead = request -> request.connection().close();
        assertTrue(send(port, requestBytes("/api", "m", "mark-submit", "")).contains(" 502 "));
        assertEquals(1, world.seen.stream().filter(s -> s.contains(" m ")).count());
        send(port, requestBytes("/api", "v", "step-view", ""));
        assertTrue(world.seen.stream().filter(s -> s.contains(" v ")).count() > 1, world.seen.toString());
    }

    /**
     * Guards against resets of kept connections: a probe goes again by itself, and a job leaves them alone, so
     * that a mark-submit is not given up for a connection that was dead before it was used.
     */
    @Test
    void usesNewConnectionsWhileIdleOnesBreak() throws Exception {
        world.resetKept = true;
        int port = startHealthy("s-1", "s-2");
        until(() -> world.resets.get() > 3);
        for (int i = 0; i < 20; i++) {
            assertTrue(send(port, requestBytes("/api", "m" + i, "mark-submit", "{}"))
                    .endsWith("r-m" + i));
        }
    }

    @Test
    void requestThatNeverRanIsRetriedElsewhere() throws Exception {
        int port = startHealthy("s-1", "s-2", "s-3");
        world.instead = request -> {
            world.instead = null;
            request.response().setStatusCode(503).putHeader("X-Not-Run", "1").end();
        };
        assertTrue(send(port, requestBytes("/api", "m", "mark-submit", "")).contains("r-m"));
        assertEquals(2, world.seen.size());
    }

    @Test
    void drainingEndpointGetsNothingNewAndABrokenWatchResumes() throws Exception {
        int port = startHealthy("s-1");
        world.breakWatches();
        until(() -> world.watches.size() == 2);
        assertTrue(world.watches.get(1).endsWith("after=2"), world.watches.toString());
        world.addRunner("s-2");
        world.tell("s-1", "Terminating");
        until(() -> send(port, requestBytes("/api", "a" + System.nanoTime(), "step-view", ""))
                        .contains(" 200 ")
                && world.seen.get(world.seen.size() - 1).startsWith("s-2"));
        int before = world.seen.size();
        for (int i = 0; i < 5; i++) {
            send(port, requestBytes("/api", "b" + i, "step-view", ""));
        }
        assertTrue(world.seen.subList(before, before + 5).stream().allMatch(s -> s.startsWith("s-2")));
    }

    @Test
    void completeListReplacesTheKnownOne() throws Exception {
        int port = startHealthy("s-1", "s-2");
        world.forget("s-1");
        world.breakWatches();
        until(() -> world.watches.size() == 2);
        world.tell("s-2", "Ready");
        until(() -> send(port, requestBytes("/api", "a" + System.nanoTime(), "step-view", ""))
                        .contains(" 200 ")
                && world.seen.get(world.seen.size() - 1).startsWith("s-2"));
        int before = world.seen.size();
        for (int i = 0; i < 8; i++) {
            send(port, requestBytes("/api", "b" + i, "step-view", ""));
        }
        assertEquals(
                8,
                world.seen.stream()
                        .skip(before)
                        .filter(s -> s.startsWith("s-2"))
                        .count());
    }

    /** A machine that vanished: connections to it never come up, and what waits for one never ran. */
    @Test
    void requestWhoseConnectionTimesOutIsRetriedElsewhere() throws Exception {
        List<Socket> fill = new ArrayList<>();
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            // The queue of a listener that accepts nothing is full after two: further ones get no answer.
            for (int i = 0; i < 2; i++) {
                fill.add(new Socket("127.0.0.1", silent.getLocalPort()));
            }
            world.addRunner("s-0", silent.getLocalPort());
            int port = startHealthy("s-1");
            for (int i = 0; i < 12; i++) {
                double before = System.nanoTime();
                assertTrue(send(port, requestBytes("/api", "m" + i, "mark-submit", ""))
                        .contains("r-m" + i));
                assertTrue(System.nanoTime() - before < 1.5e9, "the connect time-out of 200 ms binds");
            }
            assertEquals(12, world.seen.size());
        } finally {
            for (Socket s : fill) {
                s.close();
            }
        }
    }

    @Test
    void gracefulShutdownAnswersAllAcceptedRequests() throws Exception {
        world.addRunner("s-1");
        world.runTime = 1200;
        DispatcherServer dispatcher = world.start();
        int port = dispatcher.ports().get(0);
        until(() -> send(port, HEALTH).startsWith("HTTP/1.1 200"));
        CompletableFuture<String> taken =
                CompletableFuture.supplyAsync(() -> send(port, requestBytes("/api", "t", "mark-submit", "")));
        until(() -> world.seen.size() == 1);
        try (Socket idle = new Socket("127.0.0.1", port);
                Socket kept = new Socket("127.0.0.1", port)) {
            CompletableFuture<Void> end = CompletableFuture.runAsync(dispatcher::shutDown);
            until(() -> send(port, HEALTH).contains(" 503 "));
            String late = send(port, requestBytes("/api", "late", "step-view", ""));
            assertTrue(late.endsWith("r-late"), "still accepting: " + late);
            // Closing open connections at once would be a gap in service for clients that have no other server.
            until(() -> send(port, HEALTH).startsWith("broken"));
            world.runTime = 20;
            kept.getOutputStream()
                    .write(requestBytes("/api", "kept", "step-view", "").getBytes());
            byte[] answer = new byte[4096];
            String got = new String(answer, 0, kept.getInputStream().read(answer), StandardCharsets.US_ASCII);
            assertTrue(got.endsWith("r-kept"), "served on a connection that was there: " + got);
            assertEquals(-1, idle.getInputStream().read(), "the idle connection is closed");
            assertTrue(taken.get().endsWith("r-t"), taken.get());
            end.get();
        }
        assertTrue(send(port, requestBytes("/api", "x", "step-view", "")).startsWith("broken"));
    }

    /** Guards against going on with the old address, its numbers, or without a list while the new is silent. */
    @Test
    void servesFromTheKnownListWhileDiscoveryMoves() throws Exception {
        int port = startHealthy("s-1");
        DispatcherServer dispatcher = world.dispatcher();
        Map<String, Object> config = world.config();
        String file = new Gson().toJson(config);
        try (DispatcherOnStubPlatform other = new DispatcherOnStubPlatform()) {
            config.put("discovery", "127.0.0.1:1");
            config.put("name", "n9");
            PlatformConfig moved = PlatformConfig.parse(new Gson().toJson(config), Map.of());
            assertEquals(List.of("name"), PlatformConfig.parse(file, Map.of()).restartOnlyChanges(moved));
            dispatcher.reload(moved);
            until(() -> dispatcher.discovery().port() == 1);
            assertTrue(
                    send(port, requestBytes("/api", "a", "step-view", "")).endsWith("r-a"), "served from what is held");
            other.addRunner("s-2");
            dispatcher.reload(PlatformConfig.parse(new Gson().toJson(other.config()), Map.of()));
            until(() -> other.watches.size() == 1);
            assertEquals("/catalog/members?watch=1", other.watches.get(0));
            until(() -> send(port, requestBytes("/api", "b" + System.nanoTime(), "step-view", ""))
                            .contains(" 200 ")
                    && other.seen.size() > 0);
        }
    }

    @Test
    void reloadedFileOverridesTheEnvironment(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("c"), new Gson().toJson(world.config()));
        Map<String, String> environment = Map.of("ROUTER_CONFIG", file.toString(), "ROUTER_DISCOVERY", "127.0.0.9:9");
        assertEquals(9, PlatformConfig.load(environment).discovery().port());
        assertNotEquals(9, PlatformConfig.reload(environment).discovery().port());
        Files.writeString(file, "{");
        assertThrows(JsonFields.InvalidFieldException.class, () -> PlatformConfig.reload(environment));
    }

    @Test
    void descriptorsAreDividedBelowTheirLimit() {
        for (int sockets : new int[] {256, 384, 1024}) {
            int left = sockets - sockets / 3 - DescriptorBudget.maxEndpointConnections(sockets);
            assertTrue(left >= 64 && left < 70, sockets + " leave " + left);
        }
    }

    @Test
    void oneInvalidEntryDoesNotAffectTheOthers() throws Exception {
        world.addRunner("s-1");
        world.tell("s-0", "Odd");
        int port = world.start().ports().get(0);
        until(() -> send(port, HEALTH).startsWith("HTTP/1.1 200"));
        assertTrue(send(port, requestBytes("/api", "a", "step-view", "")).endsWith("r-a"));
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        Map<String, Object> config = world.config();
        config.put("listen", "localhost:80\n80");
        String line = assertThrows(
                        JsonFields.InvalidFieldException.class,
                        () -> PlatformConfig.parse(new Gson().toJson(config), Map.of()))
                .getMessage();
        assertTrue(line.contains("listen") && line.contains("localhost:80"), line);
        assertFalse(line.contains("\n"), line);
    }
}
