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
 * Several real processes as on a site whose jobs run for seconds, whose list is asked for and whose runners
 * hang: against stand-ins on loopback, by counts and rules.
 */
@Timeout(90)
class AlternativeSettingsProcessTest {
    private static final long SECOND = 1_000_000_000L;

    @TempDir
    private Path dir;

    private DispatcherOnStubPlatform world;
    private final List<Process> processes = new ArrayList<>();
    private final Map<String, String> statuses = new ConcurrentHashMap<>();

    @BeforeEach
    void open() throws Exception {
        world = new DispatcherOnStubPlatform();
        world.runTime = 20;
    }

    @AfterEach
    void close() {
        processes.forEach(Process::destroyForcibly);
        world.close();
    }

    private static int freePort() throws IOException {
        return ReservedPorts.reserve();
    }

    private static Map<String, Object> jobClass(String name, String repeat) {
        return Map.of(
                "name",
                name,
                "repeat",
                repeat,
                "aim",
                SECOND,
                "deadline",
                25 * SECOND,
                "worth",
                1,
                "window",
                30 * SECOND,
                "dedup_scope",
                "zone");
    }

    /** Settings of a site whose endpoint list is polled and whose requests run long, for one of several dispatchers. */
    private Map<String, Object> config(int rank, int of, int port) {
        Map<String, Object> config = world.config();
        @SuppressWarnings("unchecked")
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        settings.put("rank", rank);
        settings.put("fleet_size", of);
        settings.put("membership_mode", "on_request");
        settings.put("family_info", Map.of("progress", SECOND, "tells_start", true));
        settings.put("classes", List.of(jobClass("step-view", "retryable"), jobClass("mark-submit", "fragile")));
        Map<String, Object> ceilings = new HashMap<>((Map<String, Object>) settings.get("ceilings"));
        ceilings.put("second_copies", false);
        settings.put("ceilings", ceilings);
        Map<String, Object> rules = new HashMap<>((Map<String, Object>) settings.get("rules"));
        rules.put("ask_within", 10 * SECOND);
        rules.put("drain_grace", SECOND / 4);
        settings.put("rules", rules);
        config.put("name", "n" + rank);
        config.put("listen", "127.0.0.1:" + port);
        return config;
    }

    private Process start(Map<String, Object> config, Map<String, String> environment) throws IOException {
        Path file = Files.writeString(Files.createTempFile(dir, "config", ".json"), new Gson().toJson(config));
        Map<String, String> all = new LinkedHashMap<>(environment);
        all.put("ROUTER_CONFIG", file.toString());
        all.put("JAVA_TOOL_OPTIONS", "-Djava.io.tmpdir=" + dir);
        Process process = ChildProcess.start(dir.resolve("log"), all, "serve");
        processes.add(process);
        return process;
    }

    /** The response on a new connection; empty if it broke. */
    private static String exchange(int port, String bytes) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }

    private static String status(String got) {
        return got.startsWith("HTTP/1.1 ") ? got.substring(9, 12) : "broken";
    }

    private static String answer(int port, String path) {
        return exchange(port, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    }

    private static boolean yes(int port, String path) {
        return status(answer(port, path)).equals("200");
    }

    private String job(int port, String id, String jobClass, int millis) {
        String status = status(exchange(
                port,
                DispatcherOnStubPlatform.requestBytes(
                                "/api", id, jobClass, "" + millis, "Connection: close", "X-Cost-Hint: " + 1000 * millis)
                        .toString()
                        .replace("X-Deadline: 4\r", "X-Deadline: 24\r")));
        statuses.put(id, status);
        return status;
    }

    private long count(String status) {
        return statuses.values().stream().filter(status::equals).count();
    }

    private void nothingRanTwice() {
        world.runs.forEach((id, runs) -> assertTrue(!id.contains("mark") || runs.get() <= 1, id + " ran " + runs));
    }

    /** Requests that run for seconds survive the end of the old process. */
    @Test
    void aHotRestartLosesNoRequestThatWaitingSaves() throws Exception {
        for (int i = 0; i < 4; i++) {
            world.addRunner("s-" + i);
        }
        int port = freePort();
        int admin = freePort();
        Process old = start(config(0, 1, port), Map.of());
        DispatcherOnStubPlatform.until(() -> yes(port, "/_health"));
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        AtomicInteger asked = new AtomicInteger();
        Process heir = start(config(0, 1, port), Map.of("ROUTER_ADMIN_ADDR", "127.0.0.1:" + admin));
        // One job after another from eight clients: what is refused comes again, under a new id, as clients do.
        for (int c = 0; c < 8; c++) {
            int client = c;
            clients.add(CompletableFuture.runAsync(() -> {
                Random random = new Random(client);
                for (int j = 0; j < 3; j++) {
                    int millis = 1500 + random.nextInt(3200);
                    String status = "503";
                    for (int tries = 0; tries < 4 && status.equals("503"); tries++) {
                        status = job(port, "mark-" + client + "-" + j + "-" + tries, "mark-submit", millis);
                    }
                    asked.incrementAndGet();
                }
            }));
        }
        DispatcherOnStubPlatform.until(() -> yes(admin, "/-/ready"));
        old.destroy();
        if (!old.waitFor(3700, TimeUnit.MILLISECONDS)) {
            old.destroyForcibly();
        }
        CompletableFuture.allOf(clients.toArray(CompletableFuture[]::new)).get(60, TimeUnit.SECONDS);
        assertTrue(heir.isAlive());
        assertEquals(0, count("broken") + count("502"), () -> statuses + "\n" + log());
        assertEquals(asked.get(), count("200"), () -> statuses + "\n" + log());
        nothingRanTwice();
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
            world.addRunner("s-" + i);
            hosts.add("s-" + i);
        }
        int[] ports = new int[7];
        Process[] tier = new Process[7];
        for (int d = 0; d < 7; d++) {
            ports[d] = freePort();
            tier[d] = start(config(d, 7, ports[d]), Map.of());
        }
        for (int port : ports) {
            DispatcherOnStubPlatform.until(() -> yes(port, "/_health"));
        }
        // From now on discovery takes calls and says nothing.
        world.discoveryInstead = request -> {};
        world.breakWatches();
        Random random = new Random(29);
        List<Integer> order = new ArrayList<>(IntStream.range(0, 7).boxed().toList());
        java.util.Collections.shuffle(order, random);
        AtomicInteger number = new AtomicInteger();
        for (int round = 0; round < 3; round++) {
            List<Integer> victims = order.subList(2 * round, 2 * round + 2);
            List<CompletableFuture<Void>> clients = new ArrayList<>();
            for (int d = 0; d < 7; d++) {
                int port = ports[d];
                boolean killed = victims.contains(d);
                for (int c = 0; c < 6; c++) {
                    String id = (c % 2 == 0 ? "mark-" : "view-") + number.incrementAndGet();
                    clients.add(CompletableFuture.runAsync(() -> {
                        String status = job(port, id, id.startsWith("mark") ? "mark-submit" : "step-view", 300);
                        assertTrue(killed || !status.equals("broken"), id + " at a living one: " + status);
                    }));
                }
            }
            DispatcherOnStubPlatform.until(() -> world.runs.size() >= 4);
            for (int d : victims) {
                tier[d].destroyForcibly().waitFor();
            }
            for (int d : victims) {
                Map<String, Object> config = config(d, 7, ports[d]);
                config.put("known", world.known());
                tier[d] = start(config, Map.of());
            }
            CompletableFuture.allOf(clients.toArray(CompletableFuture[]::new)).get(40, TimeUnit.SECONDS);
            for (int d : victims) {
                int port = ports[d];
                DispatcherOnStubPlatform.until(() -> yes(port, "/_health"));
                assertEquals("200", job(port, "mark-back-" + round + "-" + d, "mark-submit", 10));
            }
        }
        nothingRanTwice();
        assertEquals(0, count("502"));
    }

    /** An endpoint that accepts requests and answers none is found by missing starts and progress and by probes. */
    @Test
    void aHungEndpointGetsFewRequestsAndNoNonIdempotentOneIsRetried() throws Exception {
        for (int i = 0; i < 5; i++) {
            world.addRunner("s-" + i);
        }
        int[] ports = new int[3];
        for (int d = 0; d < 3; d++) {
            ports[d] = freePort();
            start(config(d, 3, ports[d]), Map.of());
        }
        for (int port : ports) {
            DispatcherOnStubPlatform.until(() -> yes(port, "/_health"));
            assertEquals("200", job(port, "view-first-" + port, "step-view", 10));
        }
        world.hung.add("s-2");
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        AtomicInteger safe = new AtomicInteger();
        for (int c = 0; c < 6; c++) {
            int client = c;
            clients.add(CompletableFuture.runAsync(() -> {
                for (int j = 0; j < 40; j++) {
                    String id = "view-" + client + "-" + j;
                    if (job(ports[client % 3], id, "step-view", 60).equals("200")) {
                        safe.incrementAndGet();
                    }
                    if (j % 10 == 0) {
                        CompletableFuture.runAsync(() -> job(ports[client % 3], "mark-" + id, "mark-submit", 60));
                    }
                }
            }));
        }
        CompletableFuture.allOf(clients.toArray(CompletableFuture[]::new)).get(60, TimeUnit.SECONDS);
        List<String> swallowed =
                world.seen.stream().filter(s -> s.startsWith("s-2 ")).toList();
        assertTrue(swallowed.size() <= 45, swallowed.size() + " of 264 jobs went to the hung runner");
        assertEquals(240, safe.get(), "each safe job was answered, with no deadline waited for");
        for (String line : swallowed) {
            String id = line.split(" ")[3];
            long sent =
                    world.seen.stream().filter(s -> s.contains(" " + id + " ")).count();
            assertTrue(!id.startsWith("mark") || sent == 1, id + " was sent " + sent + " times");
        }
        nothingRanTwice();
    }

    /** The endpoint list comes late, is rejected and is cut off while endpoints drain. */
    @Test
    void aFailedEndpointListPollIsRetriedAndDrainingEndpointsAreRemembered() throws Exception {
        for (int i = 0; i < 4; i++) {
            world.addRunner("s-" + i);
        }
        int[] ports = new int[4];
        int[] admins = new int[4];
        AtomicInteger calls = new AtomicInteger();
        for (int d = 0; d < 4; d++) {
            ports[d] = freePort();
            admins[d] = freePort();
            start(config(d, 4, ports[d]), Map.of("ROUTER_ADMIN_ADDR", "127.0.0.1:" + admins[d]));
        }
        for (int port : ports) {
            DispatcherOnStubPlatform.until(() -> yes(port, "/_health"));
            assertEquals("200", job(port, "view-first-" + port, "step-view", 10));
        }
        // Refused, cut off or never answered by turns; every call counts.
        world.discoveryInstead = request -> fail(request, calls.incrementAndGet());
        world.breakWatches();
        int[] before = {world.watches.size()};
        for (int j = 0; j < 60; j++) {
            assertEquals("200", job(ports[j % 4], "view-blind-" + j, "step-view", 20), "the last list stands");
        }
        int asked = calls.get();
        assertTrue(asked <= 4 * 16, asked + " calls while some " + before[0] + " were there");
        world.discoveryInstead = null;
        int known = world.watches.size();
        DispatcherOnStubPlatform.until(() -> world.watches.size() >= known + 4);
        world.tell("s-1", "Terminating");
        // Told and taken in, by each one's own figures: from then on the count has to be none.
        for (int admin : admins) {
            DispatcherOnStubPlatform.until(() -> answer(admin, "/-/metrics").contains("out_of_rotation=1"));
        }
        int told = world.seen.size();
        for (int j = 0; j < 60; j++) {
            job(ports[j % 4], "view-after-" + j, "step-view", 5);
        }
        List<String> late = world.seen.subList(told, world.seen.size()).stream()
                .filter(s -> s.startsWith("s-1 "))
                .toList();
        assertEquals(List.of(), late, "nothing new where it drains");
    }

    private static void fail(HttpServerRequest request, int call) {
        switch (call % 3) {
            case 0 -> request.response().setStatusCode(503).end();
            case 1 -> request.connection().close();
            default -> {}
        }
    }
}
