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
    /** About how many requests are in flight at once where the machine is not held up. */
    private static final int MAX_UNFINISHED = 10;

    private DispatcherOnStubPlatform world;
    private HttpClient client;
    private int port;
    private Metrics metrics;

    @BeforeEach
    void open() throws Exception {
        world = new DispatcherOnStubPlatform();
        client = EventStreamClient.client(world.vertx);
    }

    private void start(String more, String... runners) throws Exception {
        for (String runner : runners) {
            world.addEndpoint(runner);
        }
        EventStreamConfig edge = EventStreamConfig.of(
                Settings.parse("test", "edge {\nlisten 127.0.0.1:0\nheartbeat 20ms\n" + more + "\n}")
                        .block("edge")
                        .get());
        port = world.start(base -> {
                    metrics = base.coordinator().metrics();
                    return new EventStreamFrontend(base, edge);
                })
                .ports()
                .get(1);
    }

    @AfterEach
    void close() throws Exception {
        world.close();
    }

    private EventStreamClient streamClient(String id, String requestClass) {
        return new EventStreamClient(world.vertx, port, id, requestClass);
    }

    private static void awaitEnd(EventStreamClient w) throws Exception {
        w.ended.get(10, TimeUnit.SECONDS);
    }

    @Test
    void aRequestIsReportedFromItsStartToOneResult() throws Exception {
        world.executionMillis = 100;
        start("", "s-1");
        EventStreamClient w = streamClient("j", "step-view").post(client);
        awaitEnd(w);
        assertEquals(
                List.of(
                        new EventStreamClient.ReceivedEvent(1, "progress", "{\"share\":0.0}"),
                        new EventStreamClient.ReceivedEvent(2, "progress", "{\"share\":0.5}"),
                        new EventStreamClient.ReceivedEvent(3, "result", "{\"result\":\"r-j\"}")),
                w.events);
        DispatcherOnStubPlatform.waitUntil(() -> metrics.snapshot().inFlightRequests() == 0);
        assertEquals(List.of(1L, 0L, 0L), metrics.snapshot().endsByClass().get("step-view"));
        assertTrue(w.rawText.startsWith("retry: 1000\n\n"), w.rawText);
        assertTrue(w.rawText.contains("\n:\n\n"), "a heartbeat: " + w.rawText);
    }

    @Test
    void aRepeatedNonIdempotentRequestAttachesAndRunsOnce() throws Exception {
        world.executionMillis = 200;
        start("", "s-1");
        EventStreamClient w = streamClient("m", "mark-submit").post(client);
        waitUntil(() -> w.events.size() == 1);
        w.reconnect(client);
        awaitEnd(w);
        assertEquals(1, w.finalEventCount());
        assertEquals(
                List.of(1L, 2L, 3L),
                w.events.stream().map(EventStreamClient.ReceivedEvent::id).toList());
        EventStreamClient late = streamClient("m", "mark-submit").post(client);
        awaitEnd(late);
        assertEquals("{\"result\":\"r-m\"}", late.lastEvent().data());
        assertEquals(1, world.executionCounts.get("m").get());
        EventStreamClient thief = streamClient("m", "step-view").post(client);
        awaitEnd(thief);
        assertEquals(409, thief.status);
    }

    @Test
    void aStreamCanBeReadAgainByItsPathUntilAllEventsAreSeen() throws Exception {
        start("", "s-1");
        awaitEnd(streamClient("g", "step-view").post(client));
        EventStreamClient again = streamClient("g", "step-view").get(client);
        awaitEnd(again);
        assertEquals(1, again.finalEventCount());
        EventStreamClient done =
                streamClient("g", "step-view").lastSeen(again.lastEvent().id()).get(client);
        awaitEnd(done);
        assertEquals(204, done.status);
        EventStreamClient other = streamClient("h", "step-view").get(client);
        awaitEnd(other);
        assertEquals(404, other.status);
    }

    /** A request must not run twice where this dispatcher, or its memory of the request, is gone. */
    @Test
    void aForgottenRequestIsNotSentAgain() throws Exception {
        start("keep-streams 0", "s-1");
        EventStreamClient lived = streamClient("p", "mark-submit").lastSeen(7).post(client);
        awaitEnd(lived);
        assertEquals("failed", lived.lastEvent().name());
        assertEquals(8, lived.lastEvent().id());
        assertNull(world.executionCounts.get("p"));
        awaitEnd(streamClient("q", "mark-submit").post(client));
        EventStreamClient again = streamClient("q", "mark-submit").post(client);
        awaitEnd(again);
        assertEquals("failed", again.lastEvent().name());
        assertEquals(1, world.executionCounts.get("q").get());
    }

    @Test
    void aRequestWithoutSubscribersIsAbandonedAfterItsGracePeriod() throws Exception {
        world.executionMillis = 600;
        start("grace 50ms", "s-1");
        EventStreamClient back = streamClient("b", "step-view").post(client);
        EventStreamClient gone = streamClient("d", "step-view").post(client);
        waitUntil(() -> back.events.size() == 1 && gone.events.size() == 1);
        back.reconnect(client);
        gone.disconnect();
        awaitEnd(back);
        assertEquals("result", back.lastEvent().name());
        EventStreamClient late = streamClient("d", "step-view").get(client);
        awaitEnd(late);
        assertEquals("{\"reason\":\"its client went away\"}", late.lastEvent().data());
        assertEquals(1, world.executionCounts.get("d").get());
    }

    /** The events kept for a client that does not read are bounded, and it gets the final one complete in the end. */
    @Test
    void aSlowSubscriberLosesProgressButNotTheFinalEvent() throws Exception {
        String big = "x".repeat(60_000);
        start("", "s-1");
        world.requestOverride = request -> {
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
            EventStreamClient fast = streamClient("s", "step-view").post(client);
            awaitEnd(fast);
            assertEquals(1, fast.finalEventCount());
            InputStream in = socket.getInputStream();
            StringBuilder text = new StringBuilder();
            byte[] part = new byte[4096];
            while (!text.toString().endsWith("0\r\n\r\n")) {
                int n = in.read(part);
                assertTrue(n > 0, "cut off after " + text.length());
                text.append(new String(part, 0, n, StandardCharsets.ISO_8859_1));
            }
            assertEquals(1, text.toString().split("event: result", -1).length - 1);
            int told = text.toString().split("event: progress", -1).length - 1;
            assertTrue(told < 20_000, told + " progress events reached a client that did not read");
        }
    }

    /** Endpoints die and drain at random points while clients disconnect and reconnect. */
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
            world.executionMillis = 10 + random.nextInt(80);
            all.add(streamClient("r" + step, classes[random.nextInt(3)]).post(client));
            if (step % 20 == 10) {
                String fresh = "s-" + (4 + step);
                world.addEndpoint(fresh);
                alive.add(fresh);
                String victim = alive.remove(random.nextInt(alive.size() - 1));
                if (random.nextBoolean()) {
                    world.kill(victim);
                } else {
                    world.announceHealth(victim, "Terminating");
                }
            }
            EventStreamClient some = all.get(random.nextInt(all.size()));
            if (some.finalEventCount() == 0 && random.nextInt(3) == 0) {
                some.reconnect(client);
            }
            TimeUnit.MILLISECONDS.sleep(random.nextInt(12));
            // A slow machine is given fewer requests a second, not more at once than the endpoints have room for.
            waitUntil(() -> all.stream().filter(w -> w.finalEventCount() == 0).count() < MAX_UNFINISHED);
        }
        for (EventStreamClient w : all) {
            awaitEnd(w);
            assertEquals(1, w.finalEventCount(), w.events.toString());
            assertEquals(
                    w.lastEvent(),
                    w.events.stream()
                            .filter(e -> !e.name().equals("progress"))
                            .findFirst()
                            .get());
        }
        for (int i = 0; i < all.size(); i++) {
            int runs = world.executionCounts.containsKey("r" + i)
                    ? world.executionCounts.get("r" + i).get()
                    : 0;
            assertTrue(runs <= 1 || !all.get(i).requestClass().equals("mark-submit"), "r" + i + " ran " + runs);
        }
        assertTrue(
                all.stream().filter(w -> w.lastEvent().name().equals("result")).count() > 100,
                all.stream().map(w -> w.lastEvent().data()).toList().toString());
    }
}
