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

/** Real dispatcher processes with a discovery that falls silent and sends indented JSON, and with other names. */
@Timeout(120)
class EndpointListProcessTest {
    private static final long SECOND = 1_000_000_000L;

    @TempDir
    private Path dir;

    private StubPlatform world;
    private final List<Process> processes = new ArrayList<>();

    @BeforeEach
    void open() throws Exception {
        world = new StubPlatform();
    }

    @AfterEach
    void close() {
        processes.forEach(Process::destroyForcibly);
        world.close();
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
                () -> answers(port, "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", " 200 "));
        return port;
    }

    private static boolean answers(int port, String request, String wanted) {
        try {
            return send(port, request).contains(wanted);
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

    /** A list may span several lines, and a watch that stays open but silent is replaced. */
    @Test
    void dispatchersNoticeASilentDiscoveryAndStopUsingADrainingEndpoint() throws Exception {
        world.indented = true;
        world.addRunner("s-old");
        int[] ports = new int[3];
        for (int n = 0; n < ports.length; n++) {
            ports[n] = start(world.config());
            assertTrue(
                    send(ports[n], request("a" + n, "step-view", "red", "5")).contains(" 200 "),
                    "an indented list is read");
        }
        int watches = world.watches.size();
        world.silence();
        world.addRunner("s-new");
        world.tell("s-old", "Terminating");
        StubPlatform.until(() -> world.watches.size() >= watches + ports.length);
        StubPlatform.until(() -> {
            // The missed update has arrived once a request goes to the new endpoint.
            for (int port : ports) {
                String id = "p" + System.nanoTime();
                if (!answers(port, request(id, "step-view", "red", "5"), " 200 ")
                        || world.seen.stream().noneMatch(s -> s.startsWith("s-new ") && s.contains(id))) {
                    return false;
                }
            }
            return true;
        });
        int before = world.seen.size();
        for (int i = 0; i < 30; i++) {
            assertTrue(send(ports[i % ports.length], request("b" + i, "step-view", "red", "5"))
                    .contains(" 200 "));
        }
        assertTrue(
                world.seen.subList(before, world.seen.size()).stream().noneMatch(s -> s.startsWith("s-old ")),
                "the old endpoint drains");
    }

    /** A class behaves as its settings say, whatever its name: one tenant, no zone, a deadline of 300 ms. */
    @Test
    void classesBehaveAsTheSettingsSayWhateverTheirNames() throws Exception {
        Map<String, Object> config = world.config();
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
        world.addRunner("s-1");
        int port = start(config);
        Map<String, Integer> failures = new HashMap<>(Map.of("u", 1, "r", 1));
        world.instead = request -> {
            String id = request.getHeader("X-Request-Id");
            if (failures.merge(id, -1, Integer::sum) >= 0) {
                request.connection().close();
            } else {
                request.response()
                        .end("{\"id\":\"" + id + "\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"r-" + id
                                + "\"}\n");
            }
        };
        String unsafe = send(port, request("u", "step-view", "gilda-do-bairro", "0.3"));
        assertTrue(!unsafe.contains("r-u") && !unsafe.contains(" 503 "), "it may have run: " + unsafe);
        assertEquals(1, runs("u"), "non-idempotent here, whatever the name means elsewhere");
        send(port, request("r", "mark-submit", "gilda-do-bairro", "5"));
        assertTrue(runs("r") <= 6, "within the cap on attempts");
        world.instead = null;
        assertTrue(send(port, request("z", "zurzir", "gilda-do-bairro", "5")).contains("r-z"));
    }

    private long runs(String id) {
        return world.seen.stream().filter(s -> s.contains(" " + id + " ")).count();
    }

    private static Map<String, Object> requestClass(String name, String repeat) {
        return Map.of(
                "name",
                name,
                "repeat",
                repeat,
                "aim",
                SECOND / 5,
                "deadline",
                3 * SECOND / 10,
                "worth",
                1,
                "window",
                SECOND,
                "dedup_scope",
                "all");
    }
}
