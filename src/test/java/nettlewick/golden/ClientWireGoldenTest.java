package nettlewick.golden;

import static nettlewick.golden.GoldenFile.assertMatches;
import static nettlewick.golden.WireText.ask;
import static nettlewick.golden.WireText.entry;
import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.until;

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

/** The bytes of a dispatcher's answers to clients and to operators, on loopback. */
@Timeout(60)
class ClientWireGoldenTest {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    private DispatcherOnStubPlatform world;
    private DispatcherServer node;

    @BeforeEach
    void open() throws Exception {
        world = new DispatcherOnStubPlatform();
    }

    @AfterEach
    void close() {
        world.close();
    }

    private int start() throws Exception {
        world.addRunner("s-1");
        Map<String, Object> config = world.config();
        config.put("admin_addr", "127.0.0.1:0");
        node = world.start(config);
        int port = node.ports().get(0);
        until(() -> answers(port, HEALTH).startsWith("HTTP/1.1 200")
                && node.adminPort() > 0
                && answers(node.adminPort(), call("GET", "/-/ready")).startsWith("HTTP/1.1 200"));
        return port;
    }

    private static String answers(int port, String bytes) {
        try {
            return ask(port, bytes);
        } catch (IOException e) {
            return "broken: " + e;
        }
    }

    private static String call(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    private static String post(String id, String jobClass, String body, String... headers) {
        return requestBytes("/api", id, jobClass, body, headers).toString();
    }

    private static String all(int port, Map<String, String> requests) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, String> request : requests.entrySet()) {
            text.append(entry(request.getKey(), ask(port, request.getValue())));
        }
        return text.toString();
    }

    @Test
    void answersToRequestsInOrder() throws Exception {
        int port = start();
        Map<String, String> requests = new LinkedHashMap<>();
        requests.put("health", HEALTH);
        requests.put("health by HEAD", HEALTH.replace("GET", "HEAD"));
        requests.put("health by POST", HEALTH.replace("GET", "POST"));
        requests.put("health, last on its connection", HEALTH.replace("x\r\n", "x\r\nConnection: close\r\n"));
        requests.put("served", post("a", "step-view", "{}"));
        requests.put("served, last on its connection", post("b", "mark-submit", "{}", "Connection: close"));
        requests.put("served over HTTP/1.0", post("c", "step-view", "{}").replace("HTTP/1.1", "HTTP/1.0"));
        StringBuilder text = new StringBuilder(all(port, requests));
        world.instead = request -> request.response()
                .setStatusCode(503)
                .putHeader("X-Not-Run", "1")
                .end();
        text.append(entry("rejected", ask(port, post("d", "mark-submit", ""))));
        world.instead = request -> request.connection().close();
        text.append(entry("failed", ask(port, post("e", "mark-submit", ""))));
        world.instead = request -> request.response().setStatusCode(500).end();
        text.append(entry("an error of the runner", ask(port, post("f", "mark-submit", ""))));
        world.instead = request -> {};
        text.append(entry(
                "past its deadline",
                ask(port, post("g", "mark-submit", "").replace("X-Deadline: 4", "X-Deadline: 0.4"))));
        text.append(entry(
                "no time at all", ask(port, post("h", "step-view", "").replace("X-Deadline: 4", "X-Deadline: 0"))));
        ask(node.adminPort(), call("POST", "/-/drain"));
        text.append(entry("health while draining", ask(port, HEALTH)));
        world.instead = null;
        text.append(entry("served while draining", ask(port, post("i", "step-view", ""))));
        assertMatches("wire/client-answers.txt", text.toString());
    }

    @Test
    void answersWithoutAList() throws Exception {
        Map<String, Object> config = world.config();
        config.put("discovery", "127.0.0.1:1");
        int port = world.start(config).ports().get(0);
        Map<String, String> requests = new LinkedHashMap<>();
        requests.put("health", HEALTH);
        requests.put("a job", post("a", "step-view", "").replace("X-Deadline: 4", "X-Deadline: 0.5"));
        assertMatches("wire/client-without-list.txt", all(port, requests));
    }

    @Test
    void answersToBadRequests() throws Exception {
        int port = start();
        String good = post("1", "step-view", "");
        Map<String, String> bad = new LinkedHashMap<>();
        bad.put("nonsense", "NONSENSE\r\n\r\n");
        bad.put("another path", good.replace("/api", "/other"));
        bad.put("a path that only begins alike", good.replace("/api", "/apiary"));
        bad.put("a job by GET", call("GET", "/api"));
        bad.put("too long a body", post("1", "step-view", "x".repeat(64 * 1024 + 1)));
        bad.put("an unknown class", good.replace("step-view", "no-class"));
        for (String header : new String[] {"X-Request-Id", "X-Class", "X-Deadline"}) {
            bad.put("without " + header, good.replaceAll(header + ": [^\r]*\r\n", ""));
            bad.put("twice " + header, post("1", "step-view", "", header + ": 2"));
            bad.put("blank " + header, good.replaceAll(header + ": [^\r]*\r\n", header + ": \r\n"));
        }
        for (String number : new String[] {"5d", "-1", "1e3", "3601", "0x1"}) {
            bad.put("deadline " + number, good.replace("X-Deadline: 4", "X-Deadline: " + number));
            bad.put("hint " + number, post("1", "step-view", "", "X-Cost-Hint: " + number + "z"));
        }
        bad.put("too long an id", good.replace("Id: 1", "Id: " + "i".repeat(257)));
        bad.put("an id that is not ASCII", good.replace("Id: 1", "Id: \u00e9"));
        bad.put("a key that is not ASCII", post("1", "step-view", "", "Idempotency-Key: \u00e9"));
        bad.put("a blank key", post("1", "step-view", "", "Idempotency-Key: "));
        bad.put("memory below 0", post("1", "step-view", "", "X-Extras: mem=-1"));
        bad.put("a path that is not ASCII", good.replace("/api", "/api/\u00e9"));
        bad.put("another version", good.replace("HTTP/1.1", "HTTP/2.0"));
        bad.put("two lengths", post("1", "step-view", "", "Content-Length: 0"));
        bad.put("a length that is no number", good.replace("Length: 0", "Length: +0"));
        bad.put("a length beyond all numbers", good.replace("Length: 0", "Length: 9999999999999999999999"));
        bad.put("length and chunks", post("1", "step-view", "", "Transfer-Encoding: chunked"));
        bad.put("an unknown coding", good.replace("Content-Length: 0", "Transfer-Encoding: gzip"));
        bad.put("a bad chunk", good.replace("Content-Length: 0", "Transfer-Encoding: chunked") + "zz\r\n");
        bad.put("a header name with a blank", post("1", "step-view", "", "X-Odd : 2"));
        bad.put("a control character", post("1", "step-view", "", "X-Odd: a\u0001b"));
        bad.put("too long a head", post("1", "step-view", "", "X-Odd: " + "x".repeat(70_000)));
        bad.put("too long a line", good.replace("/api", "/api/" + "x".repeat(70_000)));
        assertMatches("wire/client-errors.txt", all(port, bad));
    }

    @Test
    void answersToOperators() throws Exception {
        start();
        int port = node.adminPort();
        Map<String, String> calls = new LinkedHashMap<>();
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
            calls.put(line, call(line.split(" ")[0], line.split(" ")[1]));
        }
        calls.put(
                "a body that is too long",
                "POST /-/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 4097\r\n\r\n" + "x".repeat(4097));
        assertMatches("wire/operators.txt", all(port, calls));
        String figures = ask(port, call("GET", "/-/metrics"));
        int body = figures.indexOf("\r\n\r\n") + 4;
        String names = Arrays.stream(
                        figures.substring(body).replace("[end]", "").split("\n"))
                .map(line -> line.replaceFirst("=.*", ""))
                .sorted()
                .collect(Collectors.joining("\n", "", "\n"));
        String head = figures.substring(0, body).replaceAll("(?i)(content-length: )\\d+", "$1#");
        assertMatches("wire/figure-names.txt", entry("head", head) + "== names\n" + names);
    }
}
