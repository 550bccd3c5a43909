package nettlewick.ledger;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.stubs.StubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import nettlewick.core.Clock;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.net.DispatcherServer;
import nettlewick.settings.Settings;
import nettlewick.sse.EventStreamConfig;
import nettlewick.sse.EventStreamFrontend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A dispatcher with a ledger, over sockets and both frontends. */
@Timeout(60)
class LedgerServingTest {
    @TempDir
    private Path dir;

    private DispatcherOnStubPlatform platform;
    private Ledger ledger;
    private List<Integer> ports;
    private DispatcherServer dispatcher;

    @BeforeEach
    void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
        platform.addEndpoint("s-1");
        platform.addEndpoint("s-2");
        ledger = new Ledger(
                "n0",
                new LedgerSettings(
                        dir,
                        true,
                        2,
                        2,
                        500,
                        1000,
                        new BillingCalendar(ZoneOffset.UTC, List.of()),
                        15_000,
                        List.of(),
                        null),
                Clock.system());
        ledger.start();
        ledger.awaitReady();
        platform.usageRecorder = ledger;
        EventStreamConfig edge = EventStreamConfig.of(Settings.parse("t", "edge {\nlisten 127.0.0.1:0\n}")
                .block("edge")
                .get());
        Map<String, Object> config = platform.config();
        config.put("admin_addr", "127.0.0.1:0");
        dispatcher = platform.start(config, base -> new EventStreamFrontend(base, edge));
        ports = dispatcher.ports();
    }

    @AfterEach
    void close() {
        platform.close();
        ledger.close();
    }

    private static String send(int port, String text) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String request(String id, String requestClass, String... headers) {
        List<String> all = new ArrayList<>(List.of(headers));
        all.add("Connection: close");
        return requestBytes("/api", id, requestClass, "{}", all.toArray(String[]::new))
                .toString();
    }

    private Map<String, Entry> entries(int count) throws Exception {
        waitUntil(() -> ledger.metrics().get("ledger.entries").longValue() == count);
        Map<String, Entry> all = new java.util.HashMap<>();
        try (Store store = Store.read(dir)) {
            store.forEachEntry(e -> all.put(e.requestId(), e));
        }
        assertEquals(count, all.size());
        return all;
    }

    @Test
    void eachAnswerOnBothFrontendsIsEnteredWithItsWork() throws Exception {
        platform.executionMillis = 60;
        assertTrue(send(ports.get(0), request("a", "save-run", "Idempotency-Key: K-1"))
                .contains("r-a"));
        assertTrue(send(ports.get(1), request("b", "step-view")).contains("r-b"));
        platform.requestOverride = request -> request.connection().close();
        assertTrue(send(ports.get(0), request("c", "mark-submit")).contains(" 502 "));
        Map<String, Entry> all = entries(3);
        Entry a = all.get("a");
        assertEquals(Ending.SERVED, a.ending());
        assertEquals("red", a.tenant());
        assertEquals(Entry.hashKey("K-1"), a.keyHash());
        assertTrue(a.workSlotMicros() > 40_000 && a.workSlotMicros() < 2_000_000 && !a.isEstimate(), a.toString());
        assertEquals(1, a.attemptCount());
        assertEquals(Ending.SERVED, all.get("b").ending());
        assertEquals(Ending.FAILED, all.get("c").ending());
        assertEquals(0, all.get("c").workSlotMicros());
        String metrics = send(dispatcher.adminPort(), "GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        assertTrue(
                metrics.contains("router.ledger.entries=3\n") && metrics.contains("router.ledger.queue=0\n"), metrics);
    }

    /** Clients that disconnect while their request runs, and clients that read one byte of the answer first. */
    @Test
    void disconnectedClientIsCountedButNotBilled() throws Exception {
        platform.executionMillis = 80;
        int jobs = 40;
        for (int i = 0; i < jobs; i++) {
            try (Socket socket = new Socket("127.0.0.1", ports.get(0))) {
                socket.setSoLinger(true, 0);
                socket.getOutputStream().write(request("l" + i, "step-view").getBytes());
                int until = i;
                waitUntil(() -> platform.executionCounts.containsKey("l" + until));
                if (i % 2 == 0) {
                    // Waits until the answer has started.
                    socket.getInputStream().read();
                }
            }
        }
        Map<String, Entry> all = entries(jobs);
        Set<Ending> ends = all.values().stream().map(Entry::ending).collect(Collectors.toCollection(HashSet::new));
        assertEquals(Set.of(Ending.SERVED, Ending.LEFT), ends);
        assertTrue(all.values().stream().filter(e -> e.ending() == Ending.LEFT).allMatch(e -> e.workSlotMicros() == 0));
        assertEquals(
                jobs / 2,
                all.values().stream().filter(e -> e.ending() == Ending.LEFT).count());
        // Requests that are fulfilled in the metrics are served in the ledger.
        assertEquals(
                send(dispatcher.adminPort(), "GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                        .lines()
                        .filter(l -> l.startsWith("router.operations.step-view.fulfilled="))
                        .findFirst()
                        .get(),
                "router.operations.step-view.fulfilled=" + jobs / 2);
    }
}
