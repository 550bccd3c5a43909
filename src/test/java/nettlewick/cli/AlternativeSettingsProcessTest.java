package nettlewick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.stubs.ReservedPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Several real dispatcher processes with the settings of a site where requests run for seconds, the endpoint list is
 * polled, and endpoints hang. Discovery and the endpoints are stubs on loopback.
 */
@Timeout(90)
class AlternativeSettingsProcessTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    @TempDir
    private Path dir;

    private DispatcherOnStubPlatform platform;
    private final List<Process> processes = new ArrayList<>();
    private final Map<String, String> statuses = new ConcurrentHashMap<>();

    @BeforeEach
    void startPlatform() throws Exception {
        platform = new DispatcherOnStubPlatform();
        platform.executionMillis = 20;
    }

    @AfterEach
    void stopAll() {
        processes.forEach(Process::destroyForcibly);
        platform.close();
    }

    private static int freePort() throws IOException {
        return ReservedPorts.reserve();
    }

    private static Map<String, Object> requestClass(String name, String repeat) {
        return Map.of(
                "name",
                name,
                "repeat",
                repeat,
                "aim",
                SECOND_NANOS,
                "deadline",
                25 * SECOND_NANOS,
                "worth",
                1,
                "window",
                30 * SECOND_NANOS,
                "dedup_scope",
                "zone");
    }

    /** The configuration of one of several dispatchers, with a polled endpoint list and long-running requests. */
    private Map<String, Object> config(int rank, int fleetSize, int port) {
        Map<String, Object> config = platform.config();
        @SuppressWarnings("unchecked")
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        settings.put("rank", rank);
        settings.put("fleet_size", fleetSize);
        settings.put("membership_mode", "on_request");
        settings.put("family_info", Map.of("progress", SECOND_NANOS, "tells_start", true));
        settings.put(
                "classes", List.of(requestClass("step-view", "retryable"), requestClass("mark-submit", "fragile")));
        Map<String, Object> ceilings = new HashMap<>((Map<String, Object>) settings.get("ceilings"));
        ceilings.put("second_copies", false);
        settings.put("ceilings", ceilings);
        Map<String, Object> rules = new HashMap<>((Map<String, Object>) settings.get("rules"));
        rules.put("ask_within", 10 * SECOND_NANOS);
        rules.put("drain_grace", SECOND_NANOS / 4);
        settings.put("rules", rules);
        config.put("name", "n" + rank);
        config.put("listen", "127.0.0.1:" + port);
        return config;
    }

    private Process start(Map<String, Object> config, Map<String, String> environment) throws IOException {
        Path file = Files.writeString(Files.createTempFile(dir, "config", ".json"), new Gson().toJson(config));
        Map<String, String> allVariables = new LinkedHashMap<>(environment);
        allVariables.put("ROUTER_CONFIG", file.toString());
        allVariables.put("JAVA_TOOL_OPTIONS", "-Djava.io.tmpdir=" + dir);
        Process process = ChildProcess.start(dir.resolve("log"), allVariables, "serve");
        processes.add(process);
        return process;
    }

    /** The response on a new connection; empty if the connection failed. */
    private static String exchange(int port, String bytes) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }

    private static String status(String response) {
        return response.startsWith("HTTP/1.1 ") ? response.substring(9, 12) : "broken";
    }

    private static String get(int port, String path) {
        return exchange(port, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    }

    private static boolean isOk(int port, String path) {
        return status(get(port, path)).equals("200");
    }

    private String sendRequest(int port, String id, String requestClass, int millis) {
        String status = status(exchange(
                port,
                DispatcherOnStubPlatform.requestBytes(
                                "/api",
                                id,
                                requestClass,
                                "" + millis,
                                "Connection: close",
                                "X-Cost-Hint: " + 1000 * millis)
                        .toString()
                        .replace("X-Deadline: 4\r", "X-Deadline: 24\r")));
        statuses.put(id, status);
        return status;
    }

    private long count(String status) {
        return statuses.values().stream().filter(status::equals).count();
    }

    private void assertNoNonIdempotentRequestRanTwice() {
        platform.executionCounts.forEach(
                (id, runs) -> assertTrue(!id.contains("mark") || runs.get() <= 1, id + " ran " + runs));
    }

    /** Requests that run for seconds are not lost when the old process ends. */
    @Test
    void aHotRestartLosesNoRequest() throws Exception {
        for (int i = 0; i < 4; i++) {
            platform.addEndpoint("s-" + i);
        }
        int port = freePort();
        int admin = freePort();
        Process predecessor = start(config(0, 1, port), Map.of());
        DispatcherOnStubPlatform.waitUntil(() -> isOk(port, "/_health"));
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        AtomicInteger finishedRequests = new AtomicInteger();
        Process successor = start(config(0, 1, port), Map.of("ROUTER_ADMIN_ADDR", "127.0.0.1:" + admin));
        // Eight clients send requests one after another, and retry a rejected one under a new id, as real clients do.
        for (int c = 0; c < 8; c++) {
            int client = c;
            clients.add(CompletableFuture.runAsync(() -> {
                Random random = new Random(client);
                for (int j = 0; j < 3; j++) {
                    int millis = 1500 + random.nextInt(3200);
                    String status = "503";
                    for (int tries = 0; tries < 4 && status.equals("503"); tries++) {
                        status = sendRequest(port, "mark-" + client + "-" + j + "-" + tries, "mark-submit", millis);
                    }
                    finishedRequests.incrementAndGet();
                }
            }));
        }
        DispatcherOnStubPlatform.waitUntil(() -> isOk(admin, "/-/ready"));
        predecessor.destroy();
        if (!predecessor.waitFor(3700, TimeUnit.MILLISECONDS)) {
            predecessor.destroyForcibly();
        }
        CompletableFuture.allOf(clients.toArray(CompletableFuture[]::new)).get(60, TimeUnit.SECONDS);
        assertTrue(successor.isAlive());
        assertEquals(0, count("broken") + count("502"), () -> statuses + "\n" + log());
        assertEquals(finishedRequests.get(), count("200"), () -> statuses + "\n" + log());
        assertNoNonIdempotentRequestRanTwice();
    }

    private String log() {
        try {
            return Files.readString(dir.resolve("log"));
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Two of seven dispatchers at a time are killed and come back with only their last endpoint list. */
    @Test
    void repeatedRestartsWithOnlyTheLastEndpointListKeepServing() throws Exception {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            platform.addEndpoint("s-" + i);
            hosts.add("s-" + i);
        }
        int[] ports = new int[7];
        Process[] dispatchers = new Process[7];
        for (int d = 0; d < 7; d++) {
            ports[d] = freePort();
            dispatchers[d] = start(config(d, 7, ports[d]), Map.of());
        }
        for (int port : ports) {
            DispatcherOnStubPlatform.waitUntil(() -> isOk(port, "/_health"));
        }
        // From now on discovery accepts requests and never responds.
        platform.discoveryOverride = request -> {};
        platform.resetWatches();
        Random random = new Random(29);
        List<Integer> order = new ArrayList<>(IntStream.range(0, 7).boxed().toList());
        java.util.Collections.shuffle(order, random);
        AtomicInteger requestCount = new AtomicInteger();
        for (int round = 0; round < 3; round++) {
            List<Integer> killedNow = order.subList(2 * round, 2 * round + 2);
            List<CompletableFuture<Void>> clients = new ArrayList<>();
            for (int d = 0; d < 7; d++) {
                int port = ports[d];
                boolean isKilled = killedNow.contains(d);
                for (int c = 0; c < 6; c++) {
                    String id = (c % 2 == 0 ? "mark-" : "view-") + requestCount.incrementAndGet();
                    clients.add(CompletableFuture.runAsync(() -> {
                        String status = sendRequest(port, id, id.startsWith("mark") ? "mark-submit" : "step-view", 300);
                        assertTrue(
                                isKilled || !status.equals("broken"),
                                id + " at a dispatcher that was not killed: " + status);
                    }));
                }
            }
            DispatcherOnStubPlatform.waitUntil(() -> platform.executionCounts.size() >= 4);
            for (int d : killedNow) {
                dispatchers[d].destroyForcibly().waitFor();
            }
            for (int d : killedNow) {
                Map<String, Object> config = config(d, 7, ports[d]);
                config.put("known", platform.currentEndpointList());
                dispatchers[d] = start(config, Map.of());
            }
            CompletableFuture.allOf(clients.toArray(CompletableFuture[]::new)).get(40, TimeUnit.SECONDS);
            for (int d : killedNow) {
                int port = ports[d];
                DispatcherOnStubPlatform.waitUntil(() -> isOk(port, "/_health"));
                assertEquals("200", sendRequest(port, "mark-back-" + round + "-" + d, "mark-submit", 10));
            }
        }
        assertNoNonIdempotentRequestRanTwice();
        assertEquals(0, count("502"));
    }

    /**
     * An endpoint that accepts requests and never responds is found by missing start and progress reports and by
     * probes.
     */
    @Test
    void aHungEndpointGetsFewRequestsAndNoNonIdempotentOneIsRetried() throws Exception {
        for (int i = 0; i < 5; i++) {
            platform.addEndpoint("s-" + i);
        }
        int[] ports = new int[3];
        for (int d = 0; d < 3; d++) {
            ports[d] = freePort();
            start(config(d, 3, ports[d]), Map.of());
        }
        for (int port : ports) {
            DispatcherOnStubPlatform.waitUntil(() -> isOk(port, "/_health"));
            assertEquals("200", sendRequest(port, "view-first-" + port, "step-view", 10));
        }
        platform.hungEndpoints.add("s-2");
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        AtomicInteger servedIdempotent = new AtomicInteger();
        for (int c = 0; c < 6; c++) {
            int client = c;
            clients.add(CompletableFuture.runAsync(() -> {
                for (int j = 0; j < 40; j++) {
                    String id = "view-" + client + "-" + j;
                    if (sendRequest(ports[client % 3], id, "step-view", 60).equals("200")) {
                        servedIdempotent.incrementAndGet();
                    }
                    if (j % 10 == 0) {
                        CompletableFuture.runAsync(
                                () -> sendRequest(ports[client % 3], "mark-" + id, "mark-submit", 60));
                    }
                }
            }));
        }
        CompletableFuture.allOf(clients.toArray(CompletableFuture[]::new)).get(60, TimeUnit.SECONDS);
        List<String> sentToHung = platform.receivedRequests.stream()
                .filter(s -> s.startsWith("s-2 "))
                .toList();
        assertTrue(sentToHung.size() <= 45, sentToHung.size() + " of 264 requests went to the hung endpoint");
        assertEquals(240, servedIdempotent.get(), "every idempotent request is served before its deadline");
        for (String line : sentToHung) {
            String id = line.split(" ")[3];
            long attempts = platform.receivedRequests.stream()
                    .filter(s -> s.contains(" " + id + " "))
                    .count();
            assertTrue(!id.startsWith("mark") || attempts == 1, id + " was sent " + attempts + " times");
        }
        assertNoNonIdempotentRequestRanTwice();
    }

    /** Polls of the endpoint list time out, are rejected or lose their connection while an endpoint starts draining. */
    @Test
    void aFailedEndpointListPollIsRetriedAndDrainingEndpointsAreRemembered() throws Exception {
        for (int i = 0; i < 4; i++) {
            platform.addEndpoint("s-" + i);
        }
        int[] ports = new int[4];
        int[] admins = new int[4];
        AtomicInteger discoveryCalls = new AtomicInteger();
        for (int d = 0; d < 4; d++) {
            ports[d] = freePort();
            admins[d] = freePort();
            start(config(d, 4, ports[d]), Map.of("ROUTER_ADMIN_ADDR", "127.0.0.1:" + admins[d]));
        }
        for (int port : ports) {
            DispatcherOnStubPlatform.waitUntil(() -> isOk(port, "/_health"));
            assertEquals("200", sendRequest(port, "view-first-" + port, "step-view", 10));
        }
        // Polls are rejected, disconnected and left unanswered in turn; each is counted.
        platform.discoveryOverride = request -> failDiscoveryCall(request, discoveryCalls.incrementAndGet());
        platform.resetWatches();
        int[] watchesBefore = {platform.discoveryRequests.size()};
        for (int j = 0; j < 60; j++) {
            assertEquals(
                    "200",
                    sendRequest(ports[j % 4], "view-blind-" + j, "step-view", 20),
                    "the last endpoint list stays in use");
        }
        int failedCalls = discoveryCalls.get();
        assertTrue(failedCalls <= 4 * 16, failedCalls + " failed polls, after " + watchesBefore[0] + " earlier ones");
        platform.discoveryOverride = null;
        int watchesAfterFailure = platform.discoveryRequests.size();
        DispatcherOnStubPlatform.waitUntil(() -> platform.discoveryRequests.size() >= watchesAfterFailure + 4);
        platform.announceHealth("s-1", "Terminating");
        // Each dispatcher has applied the update according to its metrics; from now on s-1 must get no request.
        for (int admin : admins) {
            DispatcherOnStubPlatform.waitUntil(() -> get(admin, "/-/metrics").contains("out_of_rotation=1"));
        }
        int attemptsBeforeDraining = platform.receivedRequests.size();
        for (int j = 0; j < 60; j++) {
            sendRequest(ports[j % 4], "view-after-" + j, "step-view", 5);
        }
        List<String> attemptsWhileDraining =
                platform.receivedRequests.subList(attemptsBeforeDraining, platform.receivedRequests.size()).stream()
                        .filter(s -> s.startsWith("s-1 "))
                        .toList();
        assertEquals(List.of(), attemptsWhileDraining, "a draining endpoint gets no new requests");
    }

    private static void failDiscoveryCall(HttpServerRequest request, int call) {
        switch (call % 3) {
            case 0 -> request.response().setStatusCode(503).end();
            case 1 -> request.connection().close();
            default -> {}
        }
    }
}
