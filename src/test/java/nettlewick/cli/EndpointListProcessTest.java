package nettlewick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.stubs.ReservedPorts;
import nettlewick.stubs.StubPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Real dispatcher processes with a discovery that stops responding or sends indented JSON, and with unusual names. */
@Timeout(120)
class EndpointListProcessTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    @TempDir
    private Path dir;

    private StubPlatform platform;
    private final List<Process> processes = new ArrayList<>();

    @BeforeEach
    void startPlatform() throws Exception {
        platform = new StubPlatform();
    }

    @AfterEach
    void stopAll() {
        processes.forEach(Process::destroyForcibly);
        platform.close();
    }

    private int start(Map<String, Object> config) throws Exception {
        int port = ReservedPorts.reserve();
        config.put("listen", "127.0.0.1:" + port);
        Path file = Files.writeString(dir.resolve("config" + processes.size()), new Gson().toJson(config));
        Path log = Files.createFile(dir.resolve("log" + processes.size()));
        Process process = ChildProcess.start(log, Map.of("ROUTER_CONFIG", file.toString()), "serve");
        processes.add(process);
        ChildProcess.awaitCondition(
                process,
                log,
                () -> responseContains(port, "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", " 200 "));
        return port;
    }

    private static boolean responseContains(int port, String request, String expected) {
        try {
            return send(port, request).contains(expected);
        } catch (IOException e) {
            return false;
        }
    }

    private static String send(int port, String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String request(String id, String requestClass, String tenant, String deadline) {
        return "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nX-Tenant: " + tenant + "\r\nX-Deadline: " + deadline
                + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    }

    /** An endpoint list may span several lines, and a watch that stays open without updates is replaced. */
    @Test
    void dispatchersNoticeASilentDiscoveryAndStopUsingADrainingEndpoint() throws Exception {
        platform.prettyPrintLists = true;
        platform.addEndpoint("s-old");
        int[] ports = new int[3];
        for (int n = 0; n < ports.length; n++) {
            ports[n] = start(platform.config());
            assertTrue(
                    send(ports[n], request("a" + n, "step-view", "red", "5")).contains(" 200 "),
                    "an indented endpoint list is parsed");
        }
        int watchesBefore = platform.discoveryRequests.size();
        platform.muteOpenWatches();
        platform.addEndpoint("s-new");
        platform.announceHealth("s-old", "Terminating");
        StubPlatform.waitUntil(() -> platform.discoveryRequests.size() >= watchesBefore + ports.length);
        StubPlatform.waitUntil(() -> {
            // The missed update has arrived once a request goes to the new endpoint.
            for (int port : ports) {
                String id = "p" + System.nanoTime();
                if (!responseContains(port, request(id, "step-view", "red", "5"), " 200 ")
                        || platform.receivedRequests.stream()
                                .noneMatch(s -> s.startsWith("s-new ") && s.contains(id))) {
                    return false;
                }
            }
            return true;
        });
        int attemptsBefore = platform.receivedRequests.size();
        for (int i = 0; i < 30; i++) {
            assertTrue(send(ports[i % ports.length], request("b" + i, "step-view", "red", "5"))
                    .contains(" 200 "));
        }
        assertTrue(
                platform.receivedRequests.subList(attemptsBefore, platform.receivedRequests.size()).stream()
                        .noneMatch(s -> s.startsWith("s-old ")),
                "the draining endpoint gets no new requests");
    }

    /** Request classes follow their settings whatever their names; one tenant, no zone, a deadline of 300 ms. */
    @Test
    void classesBehaveAsTheSettingsSayWhateverTheirNames() throws Exception {
        Map<String, Object> config = platform.config();
        @SuppressWarnings("unchecked")
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        settings.remove("zone");
        settings.put("fleet_size", 1);
        settings.put("tenants", List.of(Map.of("name", "gilda-do-bairro", "fraction", 1.0)));
        settings.put(
                "classes",
                List.of(
                        requestClass("step-view", "fragile"),
                        requestClass("mark-submit", "retryable"),
                        requestClass("zurzir", "dedup")));
        platform.addEndpoint("s-1");
        int port = start(config);
        Map<String, Integer> failuresLeft = new HashMap<>(Map.of("u", 1, "r", 1));
        platform.requestOverride = request -> {
            String id = request.getHeader("X-Request-Id");
            if (failuresLeft.merge(id, -1, Integer::sum) >= 0) {
                request.connection().close();
            } else {
                request.response()
                        .end("{\"id\":\"" + id + "\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"r-" + id
                                + "\"}\n");
            }
        };
        String response = send(port, request("u", "step-view", "gilda-do-bairro", "0.3"));
        assertTrue(
                !response.contains("r-u") && !response.contains(" 503 "),
                "not retried, since it may have run: " + response);
        assertEquals(1, attempts("u"), "non-idempotent by its settings, although elsewhere this class is idempotent");
        send(port, request("r", "mark-submit", "gilda-do-bairro", "5"));
        assertTrue(attempts("r") <= 6, "at most the maximum number of attempts");
        platform.requestOverride = null;
        assertTrue(send(port, request("z", "zurzir", "gilda-do-bairro", "5")).contains("r-z"));
    }

    private long attempts(String id) {
        return platform.receivedRequests.stream()
                .filter(s -> s.contains(" " + id + " "))
                .count();
    }

    private static Map<String, Object> requestClass(String name, String repeat) {
        return Map.of(
                "name",
                name,
                "repeat",
                repeat,
                "aim",
                SECOND_NANOS / 5,
                "deadline",
                3 * SECOND_NANOS / 10,
                "worth",
                1,
                "window",
                SECOND_NANOS,
                "dedup_scope",
                "all");
    }
}
