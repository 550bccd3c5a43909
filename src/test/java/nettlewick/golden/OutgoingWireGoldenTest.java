package nettlewick.golden;

import static nettlewick.golden.GoldenFile.assertMatches;
import static nettlewick.golden.WireText.entry;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
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

/** Compares the bytes that a dispatcher sends to endpoints and to discovery with recorded ones. */
@Timeout(60)
class OutgoingWireGoldenTest {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String LOAD_REPORT = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\ndepth=0,concurrent=0,x0=4";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

    private static String servedResponse(String id) {
        String line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line;
    }

    private static String requestId(String request) {
        return request.replaceAll("(?is).*\r\nx-request-id: ([^\r]*)\r.*", "$1");
    }

    private static void respondAsEndpoint(String request, Socket socket, AtomicInteger rejections) throws IOException {
        if (request.startsWith("GET ")) {
            RecordingServer.write(socket, LOAD_REPORT);
        } else if (requestId(request).startsWith("again") && rejections.getAndIncrement() == 0) {
            RecordingServer.write(socket, NOT_RUN);
        } else {
            RecordingServer.write(socket, servedResponse(requestId(request)));
        }
    }

    private static String http(
            String method, String uri, String id, String requestClass, String body, String... headers) {
        return method + " " + uri + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id + "\r\nX-Class: "
                + requestClass + "\r\nX-Deadline: 4\r\n"
                + (headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @SuppressWarnings("unchecked")
    private static void putSetting(Map<String, Object> config, String section, String name, Object value) {
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        Map<String, Object> changed = new LinkedHashMap<>((Map<String, Object>) settings.get(section));
        changed.put(name, value);
        settings.put(section, changed);
    }

    @Test
    void requestsAndLoadProbesToEndpointsAreAsRecorded() throws Exception {
        AtomicInteger rejections = new AtomicInteger();
        DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform();
        try (platform;
                RecordingServer one = new RecordingServer((r, s) -> respondAsEndpoint(r, s, rejections));
                RecordingServer two = new RecordingServer((r, s) -> respondAsEndpoint(r, s, rejections))) {
            platform.addEndpoint("s-1", one.port());
            platform.addEndpoint("s-2", two.port());
            // On a slow machine, hedged requests would add attempts that are not in the recording.
            Map<String, Object> config = platform.config();
            putSetting(config, "ceilings", "second_copies", false);
            int port = platform.start(config).ports().get(0);
            waitUntil(() -> distinctProbes(one).size() + distinctProbes(two).size() > 0 && isHealthy(port));
            List<String> requests = List.of(
                    http("POST", "/api", "plain", "step-view", ""),
                    http("POST", "/api/x%2Fy?a=1&&b=%7e+", "00Ab body", "step-view", "{\"x\": \"\u00c3\u00a9\"}"),
                    http("POST", "/api", "keyed", "save-run", "{}", "Idempotency-Key: K-1"),
                    http("POST", "/api", "fragile", "mark-submit", "{}", "X-Tenant: red"),
                    http(
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
                    http("POST", "/api", "keyed hints", "save-run", "{}", "Idempotency-Key: K 2", "X-Extras: memory=3"),
                    http("POST", "/api", "again", "step-view", "{\"n\":1}", "Idempotency-Key: K-3"),
                    "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: chunked\r\nX-Class: step-view\r\nX-Deadline: 4\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                    "POST /api HTTP/1.0\r\nX-Request-Id: old\r\nX-Class: step-view\r\nX-Deadline: 4\r\n"
                            + "Content-Length: 1\r\n\r\n1");
            StringBuilder text = new StringBuilder();
            for (String request : requests) {
                String response = WireText.exchange(port, request);
                assertEquals("200", response.substring(9, 12), response);
                int attempt = 0;
                for (RecordingServer endpoint : List.of(one, two)) {
                    for (String received : endpoint.requests) {
                        if (!received.startsWith("GET ") && requestId(received).equals(requestId(request))) {
                            text.append(entry(requestId(request) + ", attempt " + ++attempt, received));
                        }
                    }
                }
                assertEquals(requestId(request).equals("again") ? 2 : 1, attempt);
            }
            Set<String> distinctProbes = new TreeSet<>(distinctProbes(one));
            distinctProbes.addAll(distinctProbes(two));
            for (String probe : distinctProbes) {
                text.append(entry("probe", probe));
            }
            assertMatches("wire/to-runners.txt", text.toString());
        }
    }

    private static boolean isHealthy(int port) {
        try {
            return WireText.exchange(port, HEALTH).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** The received load probes without duplicates. */
    private static Set<String> distinctProbes(RecordingServer endpoint) {
        Set<String> distinct = new TreeSet<>();
        endpoint.requests.stream()
                .filter(r -> r.startsWith("GET "))
                .map(WireText::normalize)
                .forEach(distinct::add);
        return distinct;
    }

    private static String endpointListChunk(int version) {
        String line = "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[]}\n";
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    @SuppressWarnings("unchecked")
    void requestsToDiscoveryAreAsRecorded(String mode) throws Exception {
        StringBuilder text = new StringBuilder();
        for (boolean hasKnownList : new boolean[] {false, true}) {
            AtomicInteger calls = new AtomicInteger();
            DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform();
            try (platform;
                    RecordingServer discovery = new RecordingServer((request, socket) -> {
                        int call = calls.incrementAndGet();
                        RecordingServer.write(
                                socket,
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + endpointListChunk(40 + call));
                        if (call < 3) {
                            socket.close();
                        }
                    })) {
                Map<String, Object> config = platform.config();
                config.put("discovery", "127.0.0.1:" + discovery.port());
                ((Map<String, Object>) config.get("settings")).put("membership_mode", mode);
                if (hasKnownList) {
                    config.put("known", new Gson().fromJson("{\"seq\":7,\"whole\":true,\"hosts\":[]}", Map.class));
                }
                platform.start(config);
                waitUntil(() -> discovery.requests.size() >= 3);
                for (int call = 0; call < 3; call++) {
                    text.append(entry(
                            (hasKnownList ? "list known before, call " : "nothing known, call ") + (call + 1),
                            discovery.requests.get(call)));
                }
            }
        }
        assertMatches("wire/to-discovery-" + mode + ".txt", text.toString());
    }
}
