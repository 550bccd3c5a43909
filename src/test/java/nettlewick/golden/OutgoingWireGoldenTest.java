package nettlewick.golden;

import static nettlewick.golden.GoldenFile.assertMatches;
import static nettlewick.golden.WireText.entry;
import static nettlewick.net.DispatcherOnStubPlatform.until;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.Gson;
import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import nettlewick.net.DispatcherOnStubPlatform;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The bytes that a dispatcher on loopback writes to sim runners and to discovery. */
@Timeout(60)
class OutgoingWireGoldenTest {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String LOAD = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\ndepth=0,concurrent=0,x0=4";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

    private static String served(String id) {
        String line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line;
    }

    private static String id(String request) {
        return request.replaceAll("(?is).*\r\nx-request-id: ([^\r]*)\r.*", "$1");
    }

    private static void runner(String request, Socket socket, AtomicInteger refusals) throws IOException {
        if (request.startsWith("GET ")) {
            RecordingServer.write(socket, LOAD);
        } else if (id(request).startsWith("again") && refusals.getAndIncrement() == 0) {
            RecordingServer.write(socket, NOT_RUN);
        } else {
            RecordingServer.write(socket, served(id(request)));
        }
    }

    private static String job(String method, String uri, String id, String jobClass, String body, String... headers) {
        return method + " " + uri + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id + "\r\nX-Class: "
                + jobClass + "\r\nX-Deadline: 4\r\n"
                + (headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @SuppressWarnings("unchecked")
    private static void change(Map<String, Object> config, String part, String name, Object value) {
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        Map<String, Object> changed = new LinkedHashMap<>((Map<String, Object>) settings.get(part));
        changed.put(name, value);
        settings.put(part, changed);
    }

    @Test
    void requestsAndProbesToRunners() throws Exception {
        AtomicInteger refusals = new AtomicInteger();
        DispatcherOnStubPlatform world = new DispatcherOnStubPlatform();
        try (world;
                RecordingServer one = new RecordingServer((r, s) -> runner(r, s, refusals));
                RecordingServer two = new RecordingServer((r, s) -> runner(r, s, refusals))) {
            world.addRunner("s-1", one.port());
            world.addRunner("s-2", two.port());
            // A second copy would go out wherever the machine is slow.
            Map<String, Object> config = world.config();
            change(config, "ceilings", "second_copies", false);
            int port = world.start(config).ports().get(0);
            until(() -> probes(one).size() + probes(two).size() > 0 && healthy(port));
            List<String> jobs = List.of(
                    job("POST", "/api", "plain", "step-view", ""),
                    job("POST", "/api/x%2Fy?a=1&&b=%7e+", "00Ab body", "step-view", "{\"x\": \"\u00c3\u00a9\"}"),
                    job("POST", "/api", "keyed", "save-run", "{}", "Idempotency-Key: K-1"),
                    job("POST", "/api", "fragile", "mark-submit", "{}", "X-Tenant: red"),
                    job(
                            "POST",
                            "/api",
                            "hints",
                            "step-view",
                            "12",
                            "X-Tenant: red",
                            "X-Cost-Hint: 250",
                            "X-Extras: slots=2,mem=0.5",
                            "X-Retry: 1",
                            "Cookie: a=b; user=u-7",
                            "X-Other: kept?",
                            "Content-Type: application/json",
                            "User-Agent: golden"),
                    job("POST", "/api", "keyed hints", "save-run", "{}", "Idempotency-Key: K 2", "X-Extras: memory=3"),
                    job("POST", "/api", "again", "step-view", "{\"n\":1}", "Idempotency-Key: K-3"),
                    "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: chunked\r\nX-Class: step-view\r\nX-Deadline: 4\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                    "POST /api HTTP/1.0\r\nX-Request-Id: old\r\nX-Class: step-view\r\nX-Deadline: 4\r\n"
                            + "Content-Length: 1\r\n\r\n1");
            StringBuilder text = new StringBuilder();
            for (String job : jobs) {
                String answer = WireText.exchange(port, job);
                assertEquals("200", answer.substring(9, 12), answer);
                int attempt = 0;
                for (RecordingServer runner : List.of(one, two)) {
                    for (String request : runner.requests) {
                        if (!request.startsWith("GET ") && id(request).equals(id(job))) {
                            text.append(entry(id(job) + ", attempt " + ++attempt, request));
                        }
                    }
                }
                assertEquals(id(job).equals("again") ? 2 : 1, attempt);
            }
            Set<String> probes = new TreeSet<>(probes(one));
            probes.addAll(probes(two));
            for (String probe : probes) {
                text.append(entry("probe", probe));
            }
            assertMatches("wire/to-runners.txt", text.toString());
        }
    }

    private static boolean healthy(int port) {
        try {
            return WireText.exchange(port, HEALTH).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** The probes as they came, each kind once. */
    private static Set<String> probes(RecordingServer runner) {
        Set<String> kinds = new TreeSet<>();
        runner.requests.stream()
                .filter(r -> r.startsWith("GET "))
                .map(WireText::normalize)
                .forEach(kinds::add);
        return kinds;
    }

    private static String list(int version) {
        String line = "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[]}\n";
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    @SuppressWarnings("unchecked")
    void callsToDiscovery(String mode) throws Exception {
        StringBuilder text = new StringBuilder();
        for (boolean known : new boolean[] {false, true}) {
            AtomicInteger calls = new AtomicInteger();
            DispatcherOnStubPlatform world = new DispatcherOnStubPlatform();
            try (world;
                    RecordingServer discovery = new RecordingServer((request, socket) -> {
                        int call = calls.incrementAndGet();
                        RecordingServer.write(
                                socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + list(40 + call));
                        if (call < 3) {
                            socket.close();
                        }
                    })) {
                Map<String, Object> config = world.config();
                config.put("discovery", "127.0.0.1:" + discovery.port());
                ((Map<String, Object>) config.get("settings")).put("membership_mode", mode);
                if (known) {
                    config.put("known", new Gson().fromJson("{\"seq\":7,\"whole\":true,\"hosts\":[]}", Map.class));
                }
                world.start(config);
                until(() -> discovery.requests.size() >= 3);
                for (int call = 0; call < 3; call++) {
                    text.append(entry(
                            (known ? "list known before, call " : "nothing known, call ") + (call + 1),
                            discovery.requests.get(call)));
                }
            }
        }
        assertMatches("wire/to-discovery-" + mode + ".txt", text.toString());
    }
}
