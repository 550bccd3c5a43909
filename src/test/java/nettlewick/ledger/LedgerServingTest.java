package nettlewick.ledger;

import static nettlewick.net.DispatcherOnStubPlatform.job;
import static nettlewick.stubs.StubPlatform.until;
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

/** A dispatcher that serves with its ledger, over sockets and both fronts. */
@Timeout(60)
class LedgerServingTest {
    @TempDir
    private Path dir;

    private DispatcherOnStubPlatform world;
    private Ledger ledger;
    private List<Integer> ports;
    private DispatcherServer node;

    @BeforeEach
    void open() throws Exception {
        world = new DispatcherOnStubPlatform();
        world.addRunner("s-1");
        world.addRunner("s-2");
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
        world.usageRecorder = ledger;
        EventStreamConfig edge = EventStreamConfig.of(Settings.parse("t", "edge {\nlisten 127.0.0.1:0\n}")
                .block("edge")
                .get());
        Map<String, Object> config = world.config();
        config.put("admin_addr", "127.0.0.1:0");
        node = world.start(config, base -> new EventStreamFrontend(base, edge));
        ports = node.ports();
    }

    @AfterEach
    void close() {
        world.close();
        ledger.close();
    }

    private static String send(int port, String text) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String asked(String id, String requestClass, String... headers) {
        List<String> all = new ArrayList<>(List.of(headers));
        all.add("Connection: close");
        return job("/api", id, requestClass, "{}", all.toArray(String[]::new)).toString();
    }

    private Map<String, Entry> entries(int count) throws Exception {
        until(() -> ledger.metrics().get("ledger.entries").longValue() == count);
        Map<String, Entry> all = new java.util.HashMap<>();
        try (Store store = Store.read(dir)) {
            store.forEachEntry(e -> all.put(e.requestId(), e));
        }
        assertEquals(count, all.size());
        return all;
    }

    @Test
    void eachAnswerOnBothFrontsIsAnEntryWithItsWork() throws Exception {
        world.runTime = 60;
        assertTrue(send(ports.get(0), asked("a", "save-run", "Idempotency-Key: K-1"))
                .contains("r-a"));
        assertTrue(send(ports.get(1), asked("b", "step-view")).contains("r-b"));
        world.instead = request -> request.connection().close();
        assertTrue(send(ports.get(0), asked("c", "mark-submit")).contains(" 502 "));
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
        String figures = send(node.adminPort(), "GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        assertTrue(
                figures.contains("router.ledger.entries=3\n") && figures.contains("router.ledger.queue=0\n"), figures);
    }

    /** A client that leaves while its job runs, and one that leaves as its answer comes. */
    @Test
    void aClientThatLeavesIsCountedAndNotBilled() throws Exception {
        world.runTime = 80;
        int jobs = 40;
        for (int i = 0; i < jobs; i++) {
            try (Socket socket = new Socket("127.0.0.1", ports.get(0))) {
                socket.setSoLinger(true, 0);
                socket.getOutputStream().write(asked("l" + i, "step-view").getBytes());
                int until = i;
                until(() -> world.runs.containsKey("l" + until));
                if (i % 2 == 0) {
                    // Until the answer is on its way, or nearly.
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
        // The same jobs are fulfilled in the figures and served in the ledger.
        assertEquals(
                send(node.adminPort(), "GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                        .lines()
                        .filter(l -> l.startsWith("router.operations.step-view.fulfilled="))
                        .findFirst()
                        .get(),
                "router.operations.step-view.fulfilled=" + jobs / 2);
    }
}
