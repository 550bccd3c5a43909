package nettlewick.sse;

import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.http.HttpClient;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import nettlewick.core.Metrics;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.settings.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The event stream frontend on loopback: one final event for each stream, one run for non-idempotent requests. */
@Timeout(60)
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class EventStreamFrontendTest {
    /** About the number of requests that are in flight at once on a machine that is not overloaded. */
    private static final int MAX_UNFINISHED = 10;

    private DispatcherOnStubPlatform platform;
    private HttpClient httpClient;
    private int port;
    private Metrics metrics;

    @BeforeEach
    void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
        httpClient = EventStreamClient.newHttpClient(platform.vertx);
    }

    private void start(String extraSettings, String... endpoints) throws Exception {
        for (String endpoint : endpoints) {
            platform.addEndpoint(endpoint);
        }
        EventStreamConfig config = EventStreamConfig.of(
                Settings.parse("test", "edge {\nlisten 127.0.0.1:0\nheartbeat 20ms\n" + extraSettings + "\n}")
                        .block("edge")
                        .get());
        port = platform.start(environment -> {
                    metrics = environment.coordinator().metrics();
                    return new EventStreamFrontend(environment, config);
                })
                .ports()
                .get(1);
    }

    @AfterEach
    void close() throws Exception {
        platform.close();
    }

    private EventStreamClient streamClient(String id, String requestClass) {
        return new EventStreamClient(platform.vertx, port, id, requestClass);
    }

    private static void awaitEnd(EventStreamClient stream) throws Exception {
        stream.ended.get(10, TimeUnit.SECONDS);
    }

    @Test
    void aRequestIsReportedFromItsStartToOneResult() throws Exception {
        platform.executionMillis = 100;
        start("", "s-1");
        EventStreamClient stream = streamClient("j", "step-view").post(httpClient);
        awaitEnd(stream);
        assertEquals(
                List.of(
                        new EventStreamClient.ReceivedEvent(1, "progress", "{\"share\":0.0}"),
                        new EventStreamClient.ReceivedEvent(2, "progress", "{\"share\":0.5}"),
                        new EventStreamClient.ReceivedEvent(3, "result", "{\"result\":\"r-j\"}")),
                stream.events);
        DispatcherOnStubPlatform.waitUntil(() -> metrics.snapshot().inFlightRequests() == 0);
        assertEquals(List.of(1L, 0L, 0L), metrics.snapshot().endsByClass().get("step-view"));
        assertTrue(stream.rawText.startsWith("retry: 1000\n\n"), stream.rawText);
        assertTrue(stream.rawText.contains("\n:\n\n"), "a heartbeat: " + stream.rawText);
    }

    @Test
    void aRepeatedNonIdempotentRequestAttachesAndRunsOnce() throws Exception {
        platform.executionMillis = 200;
        start("", "s-1");
        EventStreamClient stream = streamClient("m", "mark-submit").post(httpClient);
        waitUntil(() -> stream.events.size() == 1);
        stream.reconnect(httpClient);
        awaitEnd(stream);
        assertEquals(1, stream.finalEventCount());
        assertEquals(
                List.of(1L, 2L, 3L),
                stream.events.stream().map(EventStreamClient.ReceivedEvent::id).toList());
        EventStreamClient late = streamClient("m", "mark-submit").post(httpClient);
        awaitEnd(late);
        assertEquals("{\"result\":\"r-m\"}", late.lastEvent().data());
        assertEquals(1, platform.executionCounts.get("m").get());
        EventStreamClient otherClass = streamClient("m", "step-view").post(httpClient);
        awaitEnd(otherClass);
        assertEquals(409, otherClass.status);
    }

    @Test
    void aStreamCanBeReadAgainByItsPathUntilAllEventsAreSeen() throws Exception {
        start("", "s-1");
        awaitEnd(streamClient("g", "step-view").post(httpClient));
        EventStreamClient again = streamClient("g", "step-view").get(httpClient);
        awaitEnd(again);
        assertEquals(1, again.finalEventCount());
        EventStreamClient done =
                streamClient("g", "step-view").lastSeen(again.lastEvent().id()).get(httpClient);
        awaitEnd(done);
        assertEquals(204, done.status);
        EventStreamClient other = streamClient("h", "step-view").get(httpClient);
        awaitEnd(other);
        assertEquals(404, other.status);
    }

    /** A request must not run twice if its dispatcher was restarted or no longer retains the request's stream. */
    @Test
    void aForgottenRequestIsNotSentAgain() throws Exception {
        start("keep-streams 0", "s-1");
        EventStreamClient resumed = streamClient("p", "mark-submit").lastSeen(7).post(httpClient);
        awaitEnd(resumed);
        assertEquals("failed", resumed.lastEvent().name());
        assertEquals(8, resumed.lastEvent().id());
        assertNull(platform.executionCounts.get("p"));
        awaitEnd(streamClient("q", "mark-submit").post(httpClient));
        EventStreamClient again = streamClient("q", "mark-submit").post(httpClient);
        awaitEnd(again);
        assertEquals("failed", again.lastEvent().name());
        assertEquals(1, platform.executionCounts.get("q").get());
    }

    @Test
    void aRequestWithoutSubscribersIsAbandonedAfterItsGracePeriod() throws Exception {
        platform.executionMillis = 600;
        start("grace 50ms", "s-1");
        EventStreamClient reconnected = streamClient("b", "step-view").post(httpClient);
        EventStreamClient disconnected = streamClient("d", "step-view").post(httpClient);
        waitUntil(() -> reconnected.events.size() == 1 && disconnected.events.size() == 1);
        reconnected.reconnect(httpClient);
        disconnected.disconnect();
        awaitEnd(reconnected);
        assertEquals("result", reconnected.lastEvent().name());
        EventStreamClient late = streamClient("d", "step-view").get(httpClient);
        awaitEnd(late);
        assertEquals("{\"reason\":\"its client went away\"}", late.lastEvent().data());
        assertEquals(1, platform.executionCounts.get("d").get());
    }

    /** The events pending for a client that does not read are bounded, and it still receives the whole final event. */
    @Test
    void aSlowSubscriberLosesProgressButNotTheFinalEvent() throws Exception {
        String big = "x".repeat(60_000);
        start("", "s-1");
        platform.requestOverride = request -> {
            request.response().setChunked(true);
            for (int i = 0; i < 20_000; i++) {
                request.response().write("{\"state\":\"running\",\"share\":0.25}\n");
            }
            request.response().end("{\"state\":\"done\",\"result\":\"" + big + "\"}\n");
        };
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(2048);
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            socket.getOutputStream()
                    .write(DispatcherOnStubPlatform.requestBytes("/api", "s", "step-view", "")
                            .getBytes());
            EventStreamClient fast = streamClient("s", "step-view").post(httpClient);
            awaitEnd(fast);
            assertEquals(1, fast.finalEventCount());
            InputStream in = socket.getInputStream();
            StringBuilder text = new StringBuilder();
            byte[] part = new byte[4096];
            while (!text.toString().endsWith("0\r\n\r\n")) {
                int n = in.read(part);
                assertTrue(n > 0, "connection closed after " + text.length());
                text.append(new String(part, 0, n, StandardCharsets.ISO_8859_1));
            }
            assertEquals(1, text.toString().split("event: result", -1).length - 1);
            int progressEvents = text.toString().split("event: progress", -1).length - 1;
            assertTrue(progressEvents < 20_000, progressEvents + " progress events reached a client that did not read");
        }
    }

    /** Endpoints crash and drain at random times while clients disconnect and reconnect. */
    @ParameterizedTest
    @Order(Integer.MAX_VALUE) // Last, since a cold JVM on a busy machine rejects too many requests.
    @ValueSource(longs = {3, 17, 20261201})
    void everyStreamEndsOnceAndNoNonIdempotentRequestRunsTwice(long seed) throws Exception {
        Random random = new Random(seed);
        start("", "s-0", "s-1", "s-2", "s-3");
        List<EventStreamClient> all = new ArrayList<>();
        List<String> alive = new ArrayList<>(List.of("s-0", "s-1", "s-2", "s-3"));
        String[] classes = {"mark-submit", "step-view", "save-run"};
        for (int step = 0; step < 160; step++) {
            platform.executionMillis = 10 + random.nextInt(80);
            all.add(streamClient("r" + step, classes[random.nextInt(3)]).post(httpClient));
            if (step % 20 == 10) {
                String newEndpoint = "s-" + (4 + step);
                platform.addEndpoint(newEndpoint);
                alive.add(newEndpoint);
                String removedEndpoint = alive.remove(random.nextInt(alive.size() - 1));
                if (random.nextBoolean()) {
                    platform.kill(removedEndpoint);
                } else {
                    platform.announceHealth(removedEndpoint, "Terminating");
                }
            }
            EventStreamClient picked = all.get(random.nextInt(all.size()));
            if (picked.finalEventCount() == 0 && random.nextInt(3) == 0) {
                picked.reconnect(httpClient);
            }
            TimeUnit.MILLISECONDS.sleep(random.nextInt(12));
            // Limits the requests in flight to what the endpoints can admit, so that a slow machine gets a lower rate.
            waitUntil(() ->
                    all.stream().filter(stream -> stream.finalEventCount() == 0).count() < MAX_UNFINISHED);
        }
        for (EventStreamClient stream : all) {
            awaitEnd(stream);
            assertEquals(1, stream.finalEventCount(), stream.events.toString());
            assertEquals(
                    stream.lastEvent(),
                    stream.events.stream()
                            .filter(e -> !e.name().equals("progress"))
                            .findFirst()
                            .get());
        }
        for (int i = 0; i < all.size(); i++) {
            int runs = platform.executionCounts.containsKey("r" + i)
                    ? platform.executionCounts.get("r" + i).get()
                    : 0;
            assertTrue(runs <= 1 || !all.get(i).requestClass().equals("mark-submit"), "r" + i + " ran " + runs);
        }
        assertTrue(
                all.stream()
                                .filter(stream -> stream.lastEvent().name().equals("result"))
                                .count()
                        > 100,
                all.stream().map(stream -> stream.lastEvent().data()).toList().toString());
    }
}
