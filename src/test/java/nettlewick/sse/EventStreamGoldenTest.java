package nettlewick.sse;

import static nettlewick.golden.GoldenFile.assertMatches;
import static nettlewick.golden.WireText.entry;
import static nettlewick.golden.WireText.exchange;
import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.settings.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The exact bytes of the event stream frontend's responses, on loopback. */
@Timeout(60)
class EventStreamGoldenTest {
    private static final String HEARTBEAT_CHUNK = "3\r\n:\n\n\r\n";
    private DispatcherOnStubPlatform platform;
    private int port;

    @BeforeEach
    void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
    }

    @AfterEach
    void close() {
        platform.close();
    }

    private void start(String... settings) throws Exception {
        platform.addEndpoint("s-1");
        EventStreamConfig config = EventStreamConfig.of(
                Settings.parse("test", "edge {\nlisten 127.0.0.1:0\n" + String.join("\n", settings) + "\n}")
                        .block("edge")
                        .get());
        port = platform.start(environment -> new EventStreamFrontend(environment, config))
                .ports()
                .get(1);
    }

    private static String post(String id, String requestClass, String... headers) {
        return requestBytes("/api", id, requestClass, "", headers).toString();
    }

    private static String get(String path, String... headers) {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + (headers.length == 0 ? "" : headers[0] + "\r\n") + "\r\n";
    }

    @Test
    void wholeStreams() throws Exception {
        start("heartbeat 600s");
        StringBuilder text = new StringBuilder();
        platform.executionMillis = 60;
        text.append(entry("a job to its result", exchange(port, post("a b+c", "step-view"))));
        text.append(entry("the same job again", exchange(port, post("a b+c", "step-view"))));
        text.append(entry("its stream by its address", exchange(port, get("/events/a%20b+c"))));
        text.append(entry("its stream from event 2 on", exchange(port, get("/events/a%20b+c", "Last-Event-ID: 2"))));
        text.append(entry("its stream, all seen", exchange(port, get("/events/a%20b+c", "Last-Event-ID: 3"))));
        text.append(entry(
                "an unreadable number of the event last seen",
                exchange(port, get("/events/a%20b+c", "Last-Event-ID: x"))));
        text.append(entry("last on its connection", exchange(port, post("d", "mark-submit", "Connection: close"))));
        text.append(entry("begun in an earlier life", exchange(port, post("e", "mark-submit", "Last-Event-ID: 7"))));
        platform.requestOverride =
                request -> request.response().end("{\"state\":\"done\",\"result\":\"\\\"<\u00e9\\n\"}\n");
        text.append(entry("a result with quotes and other letters", exchange(port, post("f", "mark-submit"))));
        platform.requestOverride = request -> request.response()
                .setStatusCode(503)
                .putHeader("X-Not-Run", "1")
                .end();
        text.append(entry("unavailable", exchange(port, post("g", "mark-submit"))));
        platform.requestOverride = request -> request.connection().close();
        text.append(entry("failed", exchange(port, post("h", "mark-submit"))));
        assertMatches("wire/streams.txt", text.toString());
    }

    @Test
    void errors() throws Exception {
        start("heartbeat 600s", "max-readers 1");
        exchange(port, post("a", "step-view"));
        StringBuilder text = new StringBuilder();
        text.append(entry("another job under this id", exchange(port, post("a", "save-run"))));
        text.append(entry("no such path", exchange(port, get("/_health"))));
        text.append(entry("a job by GET", exchange(port, get("/api"))));
        text.append(entry("a stream by POST", exchange(port, get("/events/a").replace("GET", "POST"))));
        text.append(entry("no such stream", exchange(port, get("/events/z"))));
        text.append(entry("an id that is not percent-encoded", exchange(port, get("/events/%zz"))));
        text.append(entry("an unknown class", exchange(port, post("b", "no-class"))));
        platform.requestOverride = request -> {};
        try (Socket open = new Socket("127.0.0.1", port)) {
            open.getOutputStream().write(post("c", "mark-submit").getBytes(StandardCharsets.US_ASCII));
            waitUntil(() -> platform.receivedRequests.size() == 2);
            text.append(entry("too many streams", exchange(port, post("d", "step-view"))));
        }
        assertMatches("wire/stream-errors.txt", text.toString());
    }

    @Test
    void heartbeats() throws Exception {
        start("heartbeat 20ms", "retry 2500ms");
        platform.executionMillis = 400;
        String got = exchange(port, post("a", "step-view"));
        assertTrue(got.contains(HEARTBEAT_CHUNK), got);
        assertMatches("wire/stream-heartbeats.txt", entry("heartbeats left out", got.replace(HEARTBEAT_CHUNK, "")));
    }
}
