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
import nettlewick.stubs.Receiver;
import nettlewick.stubs.ReservedPorts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Real processes, killed at random: no answered request is missing from the ledger, and none is recorded or delivered
 * twice.
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

    private Path conf(String name, String more) throws IOException {
        return Files.writeString(
                dir.resolve(name), "ledger {\nstore \"" + dir.resolve("store") + "\"\n" + more + "\n}\n");
    }

    /** Sends a request; whether its response is complete, whatever it says, or null if the connection broke. */
    private static Boolean ask(int port, String id) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream()
                    .write(DispatcherOnStubPlatform.job("/api", id, "step-view", "{}", "Connection: close")
                            .getBytes());
            InputStream in = socket.getInputStream();
            String got = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            int head = got.indexOf("\r\n\r\n");
            int at = got.toLowerCase().indexOf("content-length: ");
            if (head < 0 || at < 0) {
                return false;
            }
            int length = Integer.parseInt(
                    got.substring(at + 16, got.indexOf("\r\n", at)).strip());
            return got.length() - head - 4 == length;
        } catch (IOException e) {
            return null;
        }
    }

    @Test
    void aKilledDispatcherHasEachAnswerRecordedOrMarkedInDoubt() throws Exception {
        Random random = new Random(412);
        Set<String> answered = ConcurrentHashMap.newKeySet();
        Set<String> asked = ConcurrentHashMap.newKeySet();
        Path sync = conf("sync.conf", "mode sync");
        Path batch = conf("batch.conf", "mode batch 20ms");
        try (DispatcherOnStubPlatform world = new DispatcherOnStubPlatform()) {
            world.runTime = 4;
            for (int i = 0; i < 4; i++) {
                world.addRunner("s-" + i);
            }
            for (int kill = 0; kill < KILLS; kill++) {
                int port = freePort();
                Process child = startDispatcher(world, port, kill % 2 == 0 ? sync : batch);
                sendUntilKilled(child, port, "k" + kill + "-", random, asked, answered);
            }
        }
        // Any command that writes records what the last incarnation left.
        LedgerSettings settings =
                LedgerSettings.of(Settings.read(batch).block("ledger").orElseThrow());
        assertEachAnswerOnce(LedgerStoreFixture.recover(settings), asked, answered);
    }

    private Process startDispatcher(DispatcherOnStubPlatform world, int port, Path settings) throws Exception {
        Map<String, Object> config = world.config();
        config.put("listen", "127.0.0.1:" + port);
        Path file = Files.writeString(dir.resolve("config"), new Gson().toJson(config));
        Path log = dir.resolve("log");
        Process child = ChildProcess.start(
                log, Map.of("ROUTER_CONFIG", file.toString()), "serve", "--settings", settings.toString());
        DispatcherOnStubPlatform.until(() -> !child.isAlive() || healthy(port));
        assertTrue(child.isAlive(), "it started: " + Files.readString(log));
        return child;
    }

    /** Sends requests from several clients; after a random number of answers the process is killed. */
    private static void sendUntilKilled(
            Process child, int port, String prefix, Random random, Set<String> asked, Set<String> answered)
            throws Exception {
        AtomicInteger left = new AtomicInteger(1 + random.nextInt(120));
        int spin = random.nextInt(40_000);
        AtomicInteger number = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Thread client = new Thread(() -> {
                while (child.isAlive()) {
                    String id = prefix + number.incrementAndGet();
                    asked.add(id);
                    if (Boolean.TRUE.equals(ask(port, id))) {
                        answered.add(id);
                    }
                    if (left.decrementAndGet() == 0) {
                        for (int i = 0; i < spin; i++) {
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

    private static void assertEachAnswerOnce(LedgerStoreFixture.Contents seen, Set<String> asked, Set<String> answered)
            throws Exception {
        Map<String, Integer> times = new HashMap<>();
        seen.entered().forEach(id -> times.merge(id, 1, Integer::sum));
        seen.doubts().forEach(id -> times.merge(id, 1, Integer::sum));
        List<String> missing =
                answered.stream().filter(id -> !times.containsKey(id)).toList();
        assertEquals(List.of(), missing, "answered and neither recorded nor in doubt");
        assertEquals(
                List.of(),
                times.entrySet().stream().filter(e -> e.getValue() > 1).toList(),
                "recorded twice");
        assertTrue(asked.containsAll(times.keySet()), "invented");
        // Recorded but not answered: in flight when the process was killed, at most one per client.
        long more = times.keySet().stream().filter(id -> !answered.contains(id)).count();
        assertTrue(more <= (long) KILLS * CLIENTS, more + " recorded or in doubt and not seen answered");
        assertEquals(
                answered.size() + more, seen.entered().size() + seen.doubts().size());
        assertTrue(answered.size() > KILLS * 20, answered.size() + " answered");
        assertEquals(List.of(), seen.faults());
    }

    private static boolean healthy(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            String call = "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(call.getBytes());
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).contains(" 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    /** The exporter is killed around each of its calls, and the receiver fails as well. */
    @Test
    void aKilledExporterDeliversEachEntryOnce() throws Exception {
        Random random = new Random(77);
        Path out = dir.resolve("out");
        ConcurrentLinkedQueue<Process> current = new ConcurrentLinkedQueue<>();
        AtomicInteger left = new AtomicInteger();
        Receiver.Fate[] fates = {
            Receiver.Fate.TAKEN,
            Receiver.Fate.TAKEN,
            Receiver.Fate.REFUSED_BEFORE,
            Receiver.Fate.ERROR_AFTER,
            Receiver.Fate.RESET_AFTER
        };
        try (Receiver receiver = new Receiver()) {
            Path conf = conf(
                    "export.conf",
                    "export r {\nurl http://127.0.0.1:" + receiver.port()
                            + "/\nmost 9\n"
                            + "retry 1ms 5ms\nattempts 50\n}\nexport f {\nfolder \"" + out + "\"\nmost 9\n}");
            LedgerSettings settings =
                    LedgerSettings.of(Settings.read(conf).block("ledger").orElseThrow());
            receiver.script(batch -> {
                if (left.decrementAndGet() == 0) {
                    // Half of the kills come before the batch is taken, half after.
                    boolean before = random.nextBoolean();
                    current.forEach(Process::destroyForcibly);
                    return before ? Receiver.Fate.SILENT_BEFORE : Receiver.Fate.SILENT_AFTER;
                }
                return fates[random.nextInt(fates.length)];
            });
            int killed = 0;
            long[] total = new long[2];
            Path log = dir.resolve("log");
            for (int round = 0; killed < 40; round++) {
                LedgerStoreFixture.fill(settings, random, 10 + random.nextInt(40), total);
                left.set(1 + random.nextInt(7));
                Process child = ChildProcess.start(log, Map.of(), "ledger", "export", "--settings", conf.toString());
                current.add(child);
                assertTrue(child.waitFor(60, TimeUnit.SECONDS), "it ends");
                current.clear();
                killed += child.exitValue() == 0 ? 0 : 1;
                assertTrue(round < 200, "kills do not come: " + Files.readString(log));
            }
            left.set(Integer.MAX_VALUE);
            assertEquals(0, Main.run("ledger", "export", "--settings", conf.toString(), "--json"));
            assertNull(receiver.conflict());
            List<Long> wanted = List.of(total[0], total[1]);
            assertEquals(
                    wanted,
                    LedgerStoreFixture.totals(receiver.taken().values().stream()
                            .map(b -> b.getBytes())
                            .toList()));
            assertEquals(wanted, LedgerStoreFixture.totals(LedgerStoreFixture.files(out)));
        }
    }
}
