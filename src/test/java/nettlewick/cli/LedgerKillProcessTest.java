package nettlewick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import nettlewick.ledger.LedgerSettings;
import nettlewick.ledger.LedgerStoreFixture;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.settings.Settings;
import nettlewick.stubs.BatchReceiver;
import nettlewick.stubs.ReservedPorts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Real processes are killed at random times: no answered request may be missing from the ledger, and none may be
 * recorded or delivered twice.
 */
@Timeout(300)
class LedgerKillProcessTest {
    private static final int KILLS = 42;
    private static final int CLIENTS = 6;

    @TempDir
    private Path dir;

    private static int freePort() throws IOException {
        return ReservedPorts.reserve();
    }

    private Path writeSettings(String name, String options) throws IOException {
        return Files.writeString(
                dir.resolve(name), "ledger {\nstore \"" + dir.resolve("store") + "\"\n" + options + "\n}\n");
    }

    /** Sends a request; returns whether the response, of any status, is complete, or null if the connection failed. */
    private static Boolean sendRequest(int port, String id) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream()
                    .write(DispatcherOnStubPlatform.requestBytes("/api", id, "step-view", "{}", "Connection: close")
                            .getBytes());
            InputStream in = socket.getInputStream();
            String response = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            int headEnd = response.indexOf("\r\n\r\n");
            int lengthHeader = response.toLowerCase().indexOf("content-length: ");
            if (headEnd < 0 || lengthHeader < 0) {
                return false;
            }
            int length = Integer.parseInt(response.substring(lengthHeader + 16, response.indexOf("\r\n", lengthHeader))
                    .strip());
            return response.length() - headEnd - 4 == length;
        } catch (IOException e) {
            return null;
        }
    }

    @Test
    void aKilledDispatcherHasEachAnswerRecordedOrMarkedInDoubt() throws Exception {
        Random random = new Random(412);
        Set<String> answered = ConcurrentHashMap.newKeySet();
        Set<String> sent = ConcurrentHashMap.newKeySet();
        Path sync = writeSettings("sync.conf", "mode sync");
        Path batch = writeSettings("batch.conf", "mode batch 20ms");
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform()) {
            platform.executionMillis = 4;
            for (int i = 0; i < 4; i++) {
                platform.addEndpoint("s-" + i);
            }
            for (int kill = 0; kill < KILLS; kill++) {
                int port = freePort();
                Process child = startDispatcher(platform, port, kill % 2 == 0 ? sync : batch);
                sendUntilKilled(child, port, "k" + kill + "-", random, sent, answered);
            }
        }
        // Any command that writes to the ledger also records what the last incarnation left in its spool.
        LedgerSettings settings =
                LedgerSettings.of(Settings.read(batch).block("ledger").orElseThrow());
        assertEachAnswerOnce(LedgerStoreFixture.recover(settings), sent, answered);
    }

    private Process startDispatcher(DispatcherOnStubPlatform platform, int port, Path settings) throws Exception {
        Map<String, Object> config = platform.config();
        config.put("listen", "127.0.0.1:" + port);
        Path file = Files.writeString(dir.resolve("config"), new Gson().toJson(config));
        Path log = dir.resolve("log");
        Process child = ChildProcess.start(
                log, Map.of("ROUTER_CONFIG", file.toString()), "serve", "--settings", settings.toString());
        DispatcherOnStubPlatform.waitUntil(() -> !child.isAlive() || isHealthy(port));
        assertTrue(child.isAlive(), "the dispatcher started: " + Files.readString(log));
        return child;
    }

    /** Sends requests from several clients; after a random number of exchanges the process is killed. */
    private static void sendUntilKilled(
            Process child, int port, String prefix, Random random, Set<String> sent, Set<String> answered)
            throws Exception {
        AtomicInteger exchangesUntilKill = new AtomicInteger(1 + random.nextInt(120));
        int spinsBeforeKill = random.nextInt(40_000);
        AtomicInteger number = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Thread client = new Thread(() -> {
                while (child.isAlive()) {
                    String id = prefix + number.incrementAndGet();
                    sent.add(id);
                    if (Boolean.TRUE.equals(sendRequest(port, id))) {
                        answered.add(id);
                    }
                    if (exchangesUntilKill.decrementAndGet() == 0) {
                        for (int i = 0; i < spinsBeforeKill; i++) {
                            Thread.onSpinWait();
                        }
                        child.destroyForcibly();
                    }
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        child.waitFor();
    }

    private static void assertEachAnswerOnce(LedgerStoreFixture.Contents ledger, Set<String> sent, Set<String> answered)
            throws Exception {
        Map<String, Integer> occurrences = new HashMap<>();
        ledger.entered().forEach(id -> occurrences.merge(id, 1, Integer::sum));
        ledger.doubts().forEach(id -> occurrences.merge(id, 1, Integer::sum));
        List<String> missing =
                answered.stream().filter(id -> !occurrences.containsKey(id)).toList();
        assertEquals(List.of(), missing, "answered, but neither recorded nor in doubt");
        assertEquals(
                List.of(),
                occurrences.entrySet().stream().filter(e -> e.getValue() > 1).toList(),
                "recorded twice");
        assertTrue(sent.containsAll(occurrences.keySet()), "recorded requests that were never sent");
        // Recorded but not answered: in flight when the process was killed, at most one per client.
        long recordedOnly = occurrences.keySet().stream()
                .filter(id -> !answered.contains(id))
                .count();
        assertTrue(recordedOnly <= (long) KILLS * CLIENTS, recordedOnly + " recorded or in doubt without a response");
        assertEquals(
                answered.size() + recordedOnly,
                ledger.entered().size() + ledger.doubts().size());
        assertTrue(answered.size() > KILLS * 20, answered.size() + " answered");
        assertEquals(List.of(), ledger.faults());
    }

    private static boolean isHealthy(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            String request = "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes());
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).contains(" 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    /** The exporter is killed before or after the receiver takes a batch, and the receiver fails at random as well. */
    @Test
    void aKilledExporterDeliversEachEntryOnce() throws Exception {
        Random random = new Random(77);
        Path out = dir.resolve("out");
        ConcurrentLinkedQueue<Process> current = new ConcurrentLinkedQueue<>();
        AtomicInteger batchesUntilKill = new AtomicInteger();
        BatchReceiver.Behavior[] fates = {
            BatchReceiver.Behavior.TAKEN,
            BatchReceiver.Behavior.TAKEN,
            BatchReceiver.Behavior.REFUSED_BEFORE,
            BatchReceiver.Behavior.ERROR_AFTER,
            BatchReceiver.Behavior.RESET_AFTER
        };
        try (BatchReceiver receiver = new BatchReceiver()) {
            Path settingsFile = writeSettings(
                    "export.conf",
                    "export r {\nurl http://127.0.0.1:" + receiver.port()
                            + "/\nmost 9\n"
                            + "retry 1ms 5ms\nattempts 50\n}\nexport f {\nfolder \"" + out + "\"\nmost 9\n}");
            LedgerSettings settings = LedgerSettings.of(
                    Settings.read(settingsFile).block("ledger").orElseThrow());
            receiver.setResponder(batch -> {
                if (batchesUntilKill.decrementAndGet() == 0) {
                    // Half of the kills come before the batch is taken, half after.
                    boolean before = random.nextBoolean();
                    current.forEach(Process::destroyForcibly);
                    return before ? BatchReceiver.Behavior.SILENT_BEFORE : BatchReceiver.Behavior.SILENT_AFTER;
                }
                return fates[random.nextInt(fates.length)];
            });
            int kills = 0;
            long[] expectedTotals = new long[2];
            Path log = dir.resolve("log");
            for (int round = 0; kills < 40; round++) {
                LedgerStoreFixture.fill(settings, random, 10 + random.nextInt(40), expectedTotals);
                batchesUntilKill.set(1 + random.nextInt(7));
                Process child =
                        ChildProcess.start(log, Map.of(), "ledger", "export", "--settings", settingsFile.toString());
                current.add(child);
                assertTrue(child.waitFor(60, TimeUnit.SECONDS), "the exporter exits");
                current.clear();
                kills += child.exitValue() == 0 ? 0 : 1;
                assertTrue(round < 200, "too few kills: " + Files.readString(log));
            }
            batchesUntilKill.set(Integer.MAX_VALUE);
            assertEquals(0, Main.run("ledger", "export", "--settings", settingsFile.toString(), "--json"));
            assertNull(receiver.conflictingBatch());
            List<Long> expected = List.of(expectedTotals[0], expectedTotals[1]);
            assertEquals(
                    expected,
                    LedgerStoreFixture.totals(receiver.receivedBatches().values().stream()
                            .map(b -> b.getBytes())
                            .toList()));
            assertEquals(expected, LedgerStoreFixture.totals(LedgerStoreFixture.files(out)));
        }
    }
}
