package nettlewick.golden;

import static nettlewick.golden.GoldenFile.assertMatches;
import static nettlewick.golden.WireText.entry;
import static nettlewick.golden.WireText.exchange;
import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.net.DispatcherServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Compares a dispatcher's responses to clients and operators, byte by byte, with recorded ones. */
@Timeout(60)
class ClientWireGoldenTest {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    private DispatcherOnStubPlatform platform;
    private DispatcherServer dispatcher;

    @BeforeEach
    void startPlatform() throws Exception {
        platform = new DispatcherOnStubPlatform();
    }

    @AfterEach
    void closePlatform() {
        platform.close();
    }

    private int startDispatcher() throws Exception {
        platform.addEndpoint("s-1");
        Map<String, Object> config = platform.config();
        config.put("admin_addr", "127.0.0.1:0");
        dispatcher = platform.start(config);
        int port = dispatcher.ports().get(0);
        waitUntil(() -> tryExchange(port, HEALTH).startsWith("HTTP/1.1 200")
                && dispatcher.adminPort() > 0
                && tryExchange(dispatcher.adminPort(), adminRequest("GET", "/-/ready"))
                        .startsWith("HTTP/1.1 200"));
        return port;
    }

    private static String tryExchange(int port, String bytes) {
        try {
            return exchange(port, bytes);
        } catch (IOException e) {
            return "broken: " + e;
        }
    }

    private static String adminRequest(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    private static String apiRequest(String id, String requestClass, String body, String... headers) {
        return requestBytes("/api", id, requestClass, body, headers).toString();
    }

    private static String exchangeAll(int port, Map<String, String> requests) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, String> request : requests.entrySet()) {
            text.append(entry(request.getKey(), exchange(port, request.getValue())));
        }
        return text.toString();
    }

    @Test
    void responsesToValidRequestsAreAsRecorded() throws Exception {
        int port = startDispatcher();
        Map<String, String> requests = new LinkedHashMap<>();
        requests.put("health", HEALTH);
        requests.put("health by HEAD", HEALTH.replace("GET", "HEAD"));
        requests.put("health by POST", HEALTH.replace("GET", "POST"));
        requests.put("health, last on its connection", HEALTH.replace("x\r\n", "x\r\nConnection: close\r\n"));
        requests.put("served", apiRequest("a", "step-view", "{}"));
        requests.put("served, last on its connection", apiRequest("b", "mark-submit", "{}", "Connection: close"));
        requests.put("served over HTTP/1.0", apiRequest("c", "step-view", "{}").replace("HTTP/1.1", "HTTP/1.0"));
        StringBuilder text = new StringBuilder(exchangeAll(port, requests));
        platform.requestOverride = request -> request.response()
                .setStatusCode(503)
                .putHeader("X-Not-Run", "1")
                .end();
        text.append(entry("rejected", exchange(port, apiRequest("d", "mark-submit", ""))));
        platform.requestOverride = request -> request.connection().close();
        text.append(entry("failed", exchange(port, apiRequest("e", "mark-submit", ""))));
        platform.requestOverride =
                request -> request.response().setStatusCode(500).end();
        text.append(entry("an error of the runner", exchange(port, apiRequest("f", "mark-submit", ""))));
        platform.requestOverride = request -> {};
        text.append(entry(
                "past its deadline",
                exchange(port, apiRequest("g", "mark-submit", "").replace("X-Deadline: 4", "X-Deadline: 0.4"))));
        text.append(entry(
                "no time at all",
                exchange(port, apiRequest("h", "step-view", "").replace("X-Deadline: 4", "X-Deadline: 0"))));
        exchange(dispatcher.adminPort(), adminRequest("POST", "/-/drain"));
        text.append(entry("health while draining", exchange(port, HEALTH)));
        platform.requestOverride = null;
        text.append(entry("served while draining", exchange(port, apiRequest("i", "step-view", ""))));
        assertMatches("wire/client-answers.txt", text.toString());
    }

    @Test
    void responsesWithoutAnEndpointListAreAsRecorded() throws Exception {
        Map<String, Object> config = platform.config();
        config.put("discovery", "127.0.0.1:1");
        int port = platform.start(config).ports().get(0);
        Map<String, String> requests = new LinkedHashMap<>();
        requests.put("health", HEALTH);
        requests.put("a job", apiRequest("a", "step-view", "").replace("X-Deadline: 4", "X-Deadline: 0.5"));
        assertMatches("wire/client-without-list.txt", exchangeAll(port, requests));
    }

    @Test
    void responsesToInvalidRequestsAreAsRecorded() throws Exception {
        int port = startDispatcher();
        String validRequest = apiRequest("1", "step-view", "");
        Map<String, String> invalidRequests = new LinkedHashMap<>();
        invalidRequests.put("nonsense", "NONSENSE\r\n\r\n");
        invalidRequests.put("another path", validRequest.replace("/api", "/other"));
        invalidRequests.put("a path that only begins alike", validRequest.replace("/api", "/apiary"));
        invalidRequests.put("a job by GET", adminRequest("GET", "/api"));
        invalidRequests.put("too long a body", apiRequest("1", "step-view", "x".repeat(64 * 1024 + 1)));
        invalidRequests.put("an unknown class", validRequest.replace("step-view", "no-class"));
        for (String header : new String[] {"X-Request-Id", "X-Class", "X-Deadline"}) {
            invalidRequests.put("without " + header, validRequest.replaceAll(header + ": [^\r]*\r\n", ""));
            invalidRequests.put("twice " + header, apiRequest("1", "step-view", "", header + ": 2"));
            invalidRequests.put("blank " + header, validRequest.replaceAll(header + ": [^\r]*\r\n", header + ": \r\n"));
        }
        for (String number : new String[] {"5d", "-1", "1e3", "3601", "0x1"}) {
            invalidRequests.put("deadline " + number, validRequest.replace("X-Deadline: 4", "X-Deadline: " + number));
            invalidRequests.put("hint " + number, apiRequest("1", "step-view", "", "X-Cost-Hint: " + number + "z"));
        }
        invalidRequests.put("too long an id", validRequest.replace("Id: 1", "Id: " + "i".repeat(257)));
        invalidRequests.put("an id that is not ASCII", validRequest.replace("Id: 1", "Id: \u00e9"));
        invalidRequests.put("a key that is not ASCII", apiRequest("1", "step-view", "", "Idempotency-Key: \u00e9"));
        invalidRequests.put("a blank key", apiRequest("1", "step-view", "", "Idempotency-Key: "));
        invalidRequests.put("memory below 0", apiRequest("1", "step-view", "", "X-Extras: mem=-1"));
        invalidRequests.put("a path that is not ASCII", validRequest.replace("/api", "/api/\u00e9"));
        invalidRequests.put("another version", validRequest.replace("HTTP/1.1", "HTTP/2.0"));
        invalidRequests.put("two lengths", apiRequest("1", "step-view", "", "Content-Length: 0"));
        invalidRequests.put("a length that is no number", validRequest.replace("Length: 0", "Length: +0"));
        invalidRequests.put(
                "a length beyond all numbers", validRequest.replace("Length: 0", "Length: 9999999999999999999999"));
        invalidRequests.put("length and chunks", apiRequest("1", "step-view", "", "Transfer-Encoding: chunked"));
        invalidRequests.put("an unknown coding", validRequest.replace("Content-Length: 0", "Transfer-Encoding: gzip"));
        invalidRequests.put(
                "a bad chunk", validRequest.replace("Content-Length: 0", "Transfer-Encoding: chunked") + "zz\r\n");
        invalidRequests.put("a header name with a blank", apiRequest("1", "step-view", "", "X-Odd : 2"));
        invalidRequests.put("a control character", apiRequest("1", "step-view", "", "X-Odd: a\u0001b"));
        invalidRequests.put("too long a head", apiRequest("1", "step-view", "", "X-Odd: " + "x".repeat(70_000)));
        invalidRequests.put("too long a line", validRequest.replace("/api", "/api/" + "x".repeat(70_000)));
        assertMatches("wire/client-errors.txt", exchangeAll(port, invalidRequests));
    }

    @Test
    void responsesToAdminRequestsAreAsRecorded() throws Exception {
        startDispatcher();
        int port = dispatcher.adminPort();
        Map<String, String> adminRequests = new LinkedHashMap<>();
        for (String line : new String[] {
            "GET /-/ready",
            "POST /-/ready",
            "GET /-/nothing",
            "GET /",
            "GET /-/drain",
            "POST /-/metrics",
            "GET /-/sim-runners/s-1/disable",
            "POST /-/sim-runners/s-9/disable",
            "POST /-/sim-runners/%zz/disable",
            "POST /-/sim-runners/s-1/other",
            "POST /-/sim-runners/s-1/disable",
            "POST /-/sim-runners/s-1/enable",
            "POST /-/drain",
            "GET /-/ready ",
            "POST /-/resume",
            "GET /-/resume"
        }) {
            adminRequests.put(line, adminRequest(line.split(" ")[0], line.split(" ")[1]));
        }
        adminRequests.put(
                "a body that is too long",
                "POST /-/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 4097\r\n\r\n" + "x".repeat(4097));
        assertMatches("wire/operators.txt", exchangeAll(port, adminRequests));
        String metrics = exchange(port, adminRequest("GET", "/-/metrics"));
        int bodyStart = metrics.indexOf("\r\n\r\n") + 4;
        String names = Arrays.stream(
                        metrics.substring(bodyStart).replace("[end]", "").split("\n"))
                .map(line -> line.replaceFirst("=.*", ""))
                .sorted()
                .collect(Collectors.joining("\n", "", "\n"));
        String head = metrics.substring(0, bodyStart).replaceAll("(?i)(content-length: )\\d+", "$1#");
        assertMatches("wire/figure-names.txt", entry("head", head) + "== names\n" + names);
    }
}
