package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import nettlewick.admin.AdminFrontend;
import nettlewick.net.lifecycle.DisabledEndpointStore;
import nettlewick.net.lifecycle.ServiceState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The operations that operators can call on a whole dispatcher, on loopback. */
@Timeout(30)
class AdminOperationsTest {
    private static final Buffer HEALTH = Buffer.buffer("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    private DispatcherOnStubPlatform platform;
    private Map<String, Object> config;

    @BeforeEach
    void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
        platform.addEndpoint("s-1");
        config = platform.config();
        config.put("admin_addr", "127.0.0.1:0");
    }

    @AfterEach
    void close() {
        platform.close();
    }

    private int start() throws Exception {
        DispatcherServer dispatcher = platform.start(config);
        waitUntil(() -> dispatcher.adminPort() > 0 && call("GET", "/-/ready").startsWith("200"));
        return dispatcher.ports().get(0);
    }

    /** Sends bytes and reads to the end of the connection. */
    private static String exchange(int port, Buffer bytes) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(bytes.getBytes());
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "broken: " + e;
        }
    }

    /** Sends one call; returns the status and body of its response. */
    private String call(String method, String path) {
        String response = exchange(
                platform.dispatcher().adminPort(), Buffer.buffer(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"));
        return response.replaceAll("(?s)HTTP/1.1 (\\d+).*?\r\n\r\n", "$1 ");
    }

    @Test
    void metricsCountWhatClientsAndEndpointsSaw() throws Exception {
        int port = start();
        assertTrue(call("GET", "/-/metrics").contains("router.operations.mark-submit.faulted=0\n"));
        exchange(port, requestBytes("/api", "a", "step-view", "", "Connection: close"));
        exchange(port, requestBytes("/api", "a", "step-view", "", "Connection: close"));
        exchange(port, requestBytes("/api", "b", "no-class", "", "Connection: close"));
        platform.requestOverride = request -> request.response()
                .setStatusCode(503)
                .putHeader("X-Not-Run", "1")
                .end();
        exchange(port, requestBytes("/api", "c", "mark-submit", "", "Connection: close"));
        platform.requestOverride = request -> {};
        Socket pendingClient = new Socket("127.0.0.1", port);
        pendingClient
                .getOutputStream()
                .write(requestBytes("/api", "d", "save-run", "").getBytes());
        waitUntil(() -> call("GET", "/-/metrics").contains("router.open_requests=1\n")
                && call("GET", "/-/metrics").contains("router.relayed=3\n"));
        String metrics = call("GET", "/-/metrics");
        for (String line : List.of(
                "operations.step-view.fulfilled=1",
                "operations.step-view.faulted=1",
                "operations.mark-submit.throttled=1",
                "operations.save-run.fulfilled=0",
                "registry_entries=1",
                "out_of_rotation=0")) {
            assertTrue(metrics.contains("router." + line + "\n"), line + " in " + metrics);
        }
        pendingClient.close();
        waitUntil(() -> call("GET", "/-/metrics").contains("router.open_requests=0\n"));
    }

    @Test
    void rejectsUnknownCalls() throws Exception {
        start();
        assertTrue(call("GET", "/-/nothing").startsWith("404"));
        assertTrue(call("POST", "/-/ready").startsWith("405"));
        assertTrue(call("GET", "/-/drain").startsWith("405"));
        assertEquals(
                "200", exchange(platform.dispatcher().ports().get(0), HEALTH).substring(9, 12));
    }

    /** Guards against idle callers that hold all connections of the admin frontend. */
    @Test
    void silentCallersDoNotBlockOthers() throws Exception {
        start();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 3 * AdminFrontend.MAX_CONNECTIONS; i++) {
            silent.add(new Socket("127.0.0.1", platform.dispatcher().adminPort()));
            silent.get(i).getOutputStream().write("GET /-/re".getBytes(StandardCharsets.US_ASCII));
        }
        assertTrue(call("GET", "/-/ready").startsWith("200"));
        for (Socket socket : silent) {
            socket.close();
        }
    }

    @Test
    void drainSendsClientsAwayAndResumeAcceptsThemAgain() throws Exception {
        int port = start();
        platform.executionMillis = 1500;
        try (Socket idle = new Socket("127.0.0.1", port);
                Socket busy = new Socket("127.0.0.1", port)) {
            idle.getOutputStream()
                    .write(HEALTH.toString()
                            .replace("Connection: close\r\n", "")
                            .getBytes(StandardCharsets.US_ASCII));
            assertTrue(idle.getInputStream().read() >= 0);
            busy.getOutputStream()
                    .write(requestBytes("/api", "before", "step-view", "").getBytes());
            waitUntil(() -> !platform.receivedRequests.isEmpty());
            assertTrue(call("POST", "/-/drain").startsWith("200"));
            assertTrue(call("POST", "/-/drain").startsWith("200"));
            assertTrue(exchange(port, HEALTH).startsWith("HTTP/1.1 503"));
            assertTrue(call("GET", "/-/ready").startsWith("503"));
            // Both connections are closed by the server: the idle one without, the busy one after a response.
            idle.getInputStream().readAllBytes();
            String response = new String(busy.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(response.contains("r-before") && response.toLowerCase().contains("connection: close"), response);
        }
        platform.executionMillis = 10;
        assertTrue(exchange(port, requestBytes("/api", "late", "step-view", "")).contains("r-late"));
        assertTrue(call("POST", "/-/resume").startsWith("200"));
        assertTrue(exchange(port, HEALTH).startsWith("HTTP/1.1 200"));
        String response = exchange(port, requestBytes("/api", "kept", "step-view", "", "Connection: close"));
        assertTrue(response.contains("r-kept"), response);
    }

    /** Guards against requests to an endpoint under repair because discovery reports it as ready. */
    @Test
    void disabledEndpointGetsNothingUntilItIsEnabled() throws Exception {
        platform.addEndpoint("s-2");
        int port = start();
        assertTrue(call("POST", "/-/sim-runners/s-9/disable").startsWith("404"));
        assertTrue(call("GET", "/-/sim-runners/s-1/disable").startsWith("405"));
        for (int i = 0; i < 2; i++) {
            assertTrue(call("POST", "/-/sim-runners/s-1/disable").startsWith("200"));
        }
        platform.announceHealth("s-1", "Ready");
        waitUntil(() -> call("GET", "/-/metrics").contains("router.out_of_rotation=1\n"));
        for (int i = 0; i < 20; i++) {
            assertTrue(exchange(port, requestBytes("/api", "b" + i, "step-view", "", "Connection: close"))
                    .contains("r-b"));
        }
        assertTrue(
                platform.receivedRequests.stream().noneMatch(line -> line.startsWith("s-1 ")),
                platform.receivedRequests.toString());
        assertTrue(call("POST", "/-/sim-runners/s-1/enable").startsWith("200"));
        waitUntil(() -> call("GET", "/-/metrics").contains("router.out_of_rotation=0\n"));
        assertTrue(call("POST", "/-/sim-runners/s-2/disable").startsWith("200"));
        waitUntil(() -> {
            exchange(port, requestBytes("/api", "c" + System.nanoTime(), "step-view", "", "Connection: close"));
            return platform.receivedRequests.stream().anyMatch(line -> line.startsWith("s-1 "));
        });
    }

    @Test
    void disabledEndpointsAreSharedByAFileAndOutliveTheProcess(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("bans.json");
        DisabledEndpointStore first = new DisabledEndpointStore(file);
        DisabledEndpointStore second = new DisabledEndpointStore(file);
        assertEquals(1, first.setDisabled("s-1", true, 10).size());
        assertEquals(0, first.setDisabled("s-1", true, 20).size());
        assertEquals(List.of(new DisabledEndpointStore.Entry("s-1", true, 10)), second.readChanges());
        second.setDisabled("s-2", true, 30);
        second.setDisabled("s-1", false, 40);
        assertEquals(2, first.readChanges().size());
        assertTrue(first.isDisabled("s-2") && !first.isDisabled("s-1"));
        Files.writeString(file, "{\"bans\":[{\"runner\":7}]}");
        assertEquals(List.of(), first.readChanges());
        assertTrue(first.isDisabled("s-2"), "an unreadable file enables no endpoint");
        DisabledEndpointStore unwritable = new DisabledEndpointStore(dir.resolve("no/where"));
        assertThrows(IOException.class, () -> unwritable.setDisabled("s-1", true, 1));
        assertFalse(unwritable.isDisabled("s-1"));
    }

    @Test
    void drainIsReversibleAndShutdownIsNot() {
        ServiceState state = new ServiceState();
        assertFalse(state.drain(0), "a starting process cannot be drained");
        state.startServing();
        assertTrue(state.drain(0) && state.drain(500) && state.closesAfterResponse() && !state.isServing());
        assertFalse(state.closesIdleConnections(ServiceState.IDLE_CLOSE_DELAY_MILLIS - 1));
        assertTrue(state.closesIdleConnections(ServiceState.IDLE_CLOSE_DELAY_MILLIS));
        assertTrue(state.resume()
                && state.isServing()
                && !state.closesAfterResponse()
                && !state.closesIdleConnections(9e9));
        state.drain(0);
        state.beginShutdown(false);
        assertFalse(state.resume() || state.drain(0) || state.isServing() || state.closesAfterResponse());
        assertFalse(state.isHealthy());
        state.beginShutdown(true);
        assertTrue(state.isHealthy()
                && state.closesAfterResponse()
                && !state.closesIdleConnections(9e9)
                && !state.isServing());
        state.closeConnections();
        assertTrue(state.closesAfterResponse() && state.closesIdleConnections(0) && !state.resume());
    }
}
