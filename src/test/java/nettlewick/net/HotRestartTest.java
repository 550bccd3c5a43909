package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.awaitResult;
import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import nettlewick.core.Clock;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.lifecycle.HotRestart;
import nettlewick.stubs.ReservedPorts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two processes of one dispatcher during a hot restart. */
@Timeout(30)
class HotRestartTest {
    @Test
    void distinguishesLiveProcessesFromDeadOnes(@TempDir Path dir) throws Exception {
        Path deadFile = Files.writeString(dir.resolve("n0_80-0000000000005-7.alive"), "takes clients\n");
        Files.writeString(dir.resolve("n1_80-0000000000005-7.alive"), "");
        try (HotRestart predecessor = new HotRestart(dir, "n0:80", 10)) {
            assertFalse(predecessor.hasOtherProcess() || predecessor.hasServingSuccessor());
            assertFalse(Files.exists(deadFile));
            HotRestart successor = new HotRestart(dir, "n0:80", 11);
            assertTrue(predecessor.hasOtherProcess() && successor.hasOtherProcess());
            predecessor.markServing();
            assertFalse(predecessor.hasServingSuccessor() || successor.hasServingSuccessor());
            assertEquals(11, predecessor.successorStartedAt());
            assertTrue(Double.isNaN(successor.successorStartedAt())
                    && successor.isPredecessorBusy()
                    && !predecessor.isPredecessorBusy());
            predecessor.markIdle();
            assertFalse(successor.isPredecessorBusy(), "an idle predecessor is not waited for");
            successor.markServing();
            assertTrue(Double.isNaN(predecessor.successorStartedAt()));
            assertTrue(predecessor.hasServingSuccessor());
            assertFalse(successor.hasServingSuccessor());
            successor.close();
            assertFalse(predecessor.hasOtherProcess());
        }
        assertTrue(Files.exists(dir.resolve("n1_80-0000000000005-7.alive")));
    }

    private static int freePort() throws IOException {
        return ReservedPorts.reserve();
    }

    /** Sends one request on this connection; returns the head and body of the response. */
    private static String exchange(Socket socket, String id) throws IOException {
        socket.getOutputStream().write(requestBytes("/api", id, "step-view", "").getBytes());
        InputStream in = socket.getInputStream();
        StringBuilder received = new StringBuilder();
        while (received.indexOf("r-" + id) < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException(id + " got no response but: " + received);
            }
            received.append((char) b);
        }
        return received.toString();
    }

    @Test
    void successorTakesOverWithoutRejectingARequest(@TempDir Path dir) throws Exception {
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform()) {
            platform.addEndpoint("s-1");
            platform.executionMillis = 2;
            int port = freePort();
            Map<String, Object> configFields = platform.config();
            configFields.put("listen", "127.0.0.1:" + port);
            configFields.put("peer_listen", "127.0.0.1:" + port);
            configFields.put("peers", java.util.List.of("127.0.0.1:" + port, "127.0.0.1:1"));
            PlatformConfig config = PlatformConfig.parse(new Gson().toJson(configFields), Map.of());
            DispatcherServer predecessor =
                    new DispatcherServer(config, Clock.system(), new HotRestart(dir, "n0", 1), PlatformFrontend::new);
            awaitResult(predecessor.start());
            waitUntil(predecessor::hasEndpointList);
            Socket keptConnection = new Socket("127.0.0.1", port);
            assertTrue(exchange(keptConnection, "before").contains("200"));
            DispatcherServer successor =
                    new DispatcherServer(config, Clock.system(), new HotRestart(dir, "n0", 2), PlatformFrontend::new);
            awaitResult(successor.start());
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(predecessor::shutDown);
            waitUntil(() -> predecessor.serviceState().isDrainingOrStopping());
            int requests = 0;
            // The open connection is served by the predecessor while it lives, and then closed.
            String lastResponse = exchange(keptConnection, "kept");
            assertTrue(lastResponse.toLowerCase().contains("connection: close"), lastResponse);
            assertEquals(-1, keptConnection.getInputStream().read());
            while (!shutdown.isDone() || requests < 50) {
                try (Socket newConnection = new Socket("127.0.0.1", port)) {
                    assertTrue(exchange(newConnection, "j" + requests++).startsWith("HTTP/1.1 200"));
                }
            }
            waitUntil(() -> successor.peerSocket().isBound());
            awaitResult(predecessor.close());
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.getOutputStream()
                        .write("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                assertTrue(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                        .startsWith("HTTP/1.1 200"));
            }
            awaitResult(successor.close());
        }
    }

    /** Guards against a request that runs once in each process, because its client left one and came to the other. */
    @Test
    void aRequestWhoseClientLeftThePredecessorIsNotRunByTheSuccessor(@TempDir Path dir) throws Exception {
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform();
                RawEndpoint endpoint = new RawEndpoint().startAccepting()) {
            platform.addEndpoint("s-1", endpoint.port());
            DispatcherServer predecessor = startOnPortOfItsOwn(platform, new HotRestart(dir, "n0", 1));
            endpoint.script = (request, socket) -> {};
            try (RawClient client = new RawClient(predecessor.ports().get(0))) {
                client.send(requestBytes("/api", "a", "mark-submit", ""));
                waitUntil(() -> endpoint.receivedIds().contains("a"));
            }
            DispatcherServer successor = startOnPortOfItsOwn(platform, new HotRestart(dir, "n0", 2));
            endpoint.script = (request, socket) -> RawEndpoint.write(socket, RawEndpoint.servedResponse(request.id()));
            try (RawClient client = new RawClient(successor.ports().get(0))) {
                int status = client.send(requestBytes("/api", "a", "mark-submit", ""))
                        .read()
                        .status();
                assertEquals(502, status);
                // A request that may run again is served by either process.
                String repeatable = client.send(requestBytes("/api", "a", "step-view", ""))
                        .read()
                        .body();
                assertEquals("r-a", repeatable);
            }
            assertEquals(
                    1,
                    endpoint.received.stream()
                            .filter(request -> request.head().contains("X-Class: mark-submit"))
                            .count());
            awaitResult(predecessor.close());
            awaitResult(successor.close());
        }
    }

    private static DispatcherServer startOnPortOfItsOwn(DispatcherOnStubPlatform platform, HotRestart hotRestart)
            throws Exception {
        Map<String, Object> fields = platform.config();
        int port = freePort();
        fields.put("listen", "127.0.0.1:" + port);
        fields.put("peer_listen", "127.0.0.1:" + port);
        fields.put("peers", java.util.List.of("127.0.0.1:" + port, "127.0.0.1:1"));
        DispatcherServer server = new DispatcherServer(
                PlatformConfig.parse(new Gson().toJson(fields), Map.of()),
                Clock.system(),
                hotRestart,
                PlatformFrontend::new);
        awaitResult(server.start());
        waitUntil(() -> ConnectionRaceTestBase.isHealthy(port));
        return server;
    }
}
