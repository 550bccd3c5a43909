package nettlewick.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.sqlite.StoreException;
import nettlewick.stubs.BatchReceiver;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Each entry is delivered exactly once, wherever the exporter is interrupted and however the target fails. */
@Timeout(120)
class ExportTest {
    private static final double NOW = 1793491200000.0;

    /** Simulates the end of the process. */
    private static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    @TempDir
    private Path dir;

    private static ExportSettings settings(Path folder, URI url, boolean csv, int attempts, double timeout) {
        return new ExportSettings("x", folder, url, csv, 7, 1, timeout, 1, 10, attempts);
    }

    private static List<Entry> drafts(Random random, int count, long[] totals) {
        List<Entry> drafts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long workSlotMicros = random.nextInt(100_000);
            totals[0] += workSlotMicros;
            totals[1]++;
            drafts.add(TestEntries.job(
                    new EntryRef(new ChainOrigin("", 0), 0),
                    NOW,
                    "m" + random.nextInt(5),
                    null,
                    Ending.SERVED,
                    workSlotMicros));
        }
        return drafts;
    }

    /**
     * Interrupts the exporter 600 times at a point drawn from the seed: any write, sync, rename, acknowledgement or
     * commit.
     */
    @Test
    void interruptedExporterDeliversEachEntryOnce() throws Exception {
        Random random = new Random(20261201);
        long[] totals = new long[2];
        Path folder = dir.resolve("out");
        Map<Long, byte[]> received = new HashMap<>();
        Set<String> crashPoints = new HashSet<>();
        int crashes = 0;
        while (crashes < 600) {
            int[] pointsUntilCrash = {random.nextInt(40)};
            FaultInjection faults = point -> {
                if (pointsUntilCrash[0]-- == 0) {
                    crashPoints.add(point);
                    throw new Crash();
                }
                if (random.nextInt(25) == 0 && (point.startsWith("file") || point.startsWith("receiver"))) {
                    throw new IOException("injected at " + point);
                }
            };
            boolean files = random.nextBoolean();
            ExportSettings s = settings(folder, null, true, 4, 100);
            ExportTarget target = files
                    ? new FileTarget(folder, faults)
                    : parcel -> {
                        faults.at("receiver-before");
                        byte[] before = received.putIfAbsent(parcel.number(), parcel.content());
                        assertTrue(
                                before == null || java.util.Arrays.equals(before, parcel.content()),
                                "the batch was delivered with other content");
                        faults.at("receiver-after");
                    };
            try (Store store = Store.open(dir.resolve("s"), "a", faults)) {
                ChainOrigin own = store.beginIncarnation(NOW + crashes);
                List<Entry> drafts = drafts(random, random.nextInt(12), new long[2]);
                if (!drafts.isEmpty()) {
                    store.append(own, drafts);
                }
                new Exporter(
                                store,
                                new ExportSettings(files ? "f" : "r", s.folder(), null, true, 7, 1, 100, 1, 10, 4),
                                target,
                                new SplittableRandom(1),
                                millis -> {},
                                faults)
                        .runRound();
            } catch (Crash e) {
                crashes++;
            } catch (StoreException e) {
                assertTrue(e.getMessage().contains("injected"), e.toString());
            }
        }
        assertTrue(
                crashPoints.containsAll(Set.of(
                        "commit",
                        "committed",
                        "deliver",
                        "acknowledged",
                        "file-write",
                        "file-sync",
                        "file-rename",
                        "folder-sync",
                        "receiver-before",
                        "receiver-after")),
                crashPoints.toString());
        try (Store store = Store.open(dir.resolve("s"), "a", FaultInjection.NONE)) {
            ExportSettings f = new ExportSettings("f", folder, null, true, 7, 1, 100, 1, 10, 4);
            ExportSettings r = new ExportSettings("r", folder, null, true, 7, 1, 100, 1, 10, 4);
            assertNull(new Exporter(
                            store,
                            f,
                            new FileTarget(folder, FaultInjection.NONE),
                            new SplittableRandom(1),
                            m -> {},
                            FaultInjection.NONE)
                    .runRound()
                    .fault());
            assertNull(new Exporter(
                            store,
                            r,
                            p -> received.putIfAbsent(p.number(), p.content()),
                            new SplittableRandom(1),
                            m -> {},
                            FaultInjection.NONE)
                    .runRound()
                    .fault());
            store.forEachEntry(e -> {
                totals[0] += e.workSlotMicros();
                totals[1]++;
            });
            assertEquals(List.of(), store.verify());
        }
        assertTrue(totals[1] > 500, totals[1] + " entries");
        assertEquals(List.of(totals[1], totals[0]), totals(received.values()));
        assertEquals(List.of(totals[1], totals[0]), totals(completeBatches(folder)));
    }

    /** Returns the batches of a folder that have a manifest, each checked against it. */
    static List<byte[]> completeBatches(Path folder) throws IOException {
        List<byte[]> all = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(f -> f.toString().endsWith(".manifest.json")).toList()) {
                JsonObject manifest =
                        JsonParser.parseString(Files.readString(file)).getAsJsonObject();
                byte[] bytes =
                        Files.readAllBytes(folder.resolve(manifest.get("file").getAsString()));
                assertEquals(manifest.get("sha256").getAsString(), BatchCodec.sha256(bytes));
                all.add(bytes);
            }
        }
        return all;
    }

    /** Returns the number of entries and their work in CSV batches; fails if an entry occurs twice. */
    static List<Long> totals(Iterable<byte[]> batches) throws IOException {
        long work = 0;
        Set<String> seen = new HashSet<>();
        for (byte[] batch : batches) {
            for (CSVRecord r : parseCsv(batch)) {
                assertTrue(
                        seen.add(r.get("dispatcher") + r.get("life") + "/" + r.get("number")), "delivered twice: " + r);
                work += new java.math.BigDecimal(r.get("work_slot_ms"))
                        .movePointRight(3)
                        .longValueExact();
            }
        }
        return List.of((long) seen.size(), work);
    }

    private static List<CSVRecord> parseCsv(byte[] batch) throws IOException {
        return CSVParser.parse(
                        new String(batch, StandardCharsets.UTF_8),
                        CSVFormat.RFC4180
                                .builder()
                                .setHeader()
                                .setSkipHeaderRecord(true)
                                .get())
                .getRecords();
    }

    @Test
    void tenantsWithSpecialCharactersAreReadBackUnchanged() throws Exception {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            String name = "m" + i
                    + List.of(",", "\"", "\r\n", "\n", "école ✓", "=1+1", "", " x ")
                            .get(i % 8);
            entries.add(TestEntries.job(TestEntries.ref("a,\"b", 1, i + 1), NOW, name, null, Ending.SERVED, i));
        }
        List<CSVRecord> rows = parseCsv(BatchCodec.render(entries, true));
        String[] lines = new String(BatchCodec.render(entries, false), StandardCharsets.UTF_8).split("\n");
        assertEquals(300, rows.size());
        assertEquals(300, lines.length);
        for (int i = 0; i < 300; i++) {
            assertEquals(entries.get(i).tenant(), rows.get(i).get("member"));
            assertEquals("a,\"b", rows.get(i).get("dispatcher"));
            assertEquals(
                    entries.get(i).tenant(),
                    JsonParser.parseString(lines[i])
                            .getAsJsonObject()
                            .get("member")
                            .getAsString());
        }
    }

    /**
     * A receiver that responds late, twice, with an error after accepting, resets the connection, or never responds.
     */
    @Test
    void failingReceiverGetsEachEntryOnce() throws Exception {
        Random random = new Random(8);
        long[] totals = new long[2];
        try (BatchReceiver receiver = new BatchReceiver();
                Store store = Store.open(dir.resolve("s"), "a", FaultInjection.NONE)) {
            BatchReceiver.Behavior[] fates = BatchReceiver.Behavior.values();
            Set<BatchReceiver.Behavior> observed = new HashSet<>();
            receiver.setResponder(batch -> {
                BatchReceiver.Behavior fate = fates[random.nextInt(fates.length)];
                observed.add(fate);
                return fate;
            });
            store.append(store.beginIncarnation(NOW), drafts(random, 200, totals));
            ExportSettings s = settings(null, URI.create("http://127.0.0.1:" + receiver.port() + "/b"), true, 40, 60);
            Exporter.Report report = new Exporter(
                            store,
                            s,
                            Exporter.target(s, FaultInjection.NONE),
                            new SplittableRandom(2),
                            millis -> {},
                            FaultInjection.NONE)
                    .runRound();
            assertNull(report.fault());
            assertEquals(200, report.entries());
            assertTrue(report.tries() > report.batches() && observed.size() == fates.length, observed.toString());
            assertNull(receiver.conflictingBatch());
            assertEquals(
                    List.of(totals[1], totals[0]),
                    totals(receiver.receivedBatches().values().stream()
                            .map(b -> b.getBytes())
                            .toList()));
        }
    }

    @Test
    void permanentRejectionIsReportedAtOnceAndUnreachableReceiverAfterAllAttempts() throws Exception {
        try (BatchReceiver receiver = new BatchReceiver();
                Store store = Store.open(dir.resolve("s"), "a", FaultInjection.NONE)) {
            store.append(store.beginIncarnation(NOW), drafts(new Random(1), 3, new long[2]));
            ExportSettings s = settings(null, URI.create("http://127.0.0.1:" + receiver.port() + "/b"), true, 5, 500);
            ExportTarget unreachable = parcel -> {
                throw new IOException("gone");
            };
            List<Double> pauses = new ArrayList<>();
            Exporter.Report report = new Exporter(
                            store, s, unreachable, new SplittableRandom(2), pauses::add, FaultInjection.NONE)
                    .runRound();
            assertEquals(5, report.tries());
            assertEquals(4, pauses.size());
            for (int i = 0; i < 4; i++) {
                double bound = Math.min(10, Math.pow(2, i));
                assertTrue(pauses.get(i) >= bound / 2 && pauses.get(i) <= bound, pauses.toString());
            }
            // The receiver already has other content under the same batch number.
            receiver.setResponder(batch -> BatchReceiver.Behavior.TAKEN);
            new HttpTarget(s.url(), 500, FaultInjection.NONE)
                    .deliver(new ExportTarget.OutgoingBatch("a", "x", 1, true, 1, new byte[] {1}, "another"));
            report = new Exporter(
                            store,
                            s,
                            Exporter.target(s, FaultInjection.NONE),
                            new SplittableRandom(2),
                            pauses::add,
                            FaultInjection.NONE)
                    .runRound();
            assertEquals(1, report.tries());
            assertTrue(report.fault().contains("409"), report.fault());
        }
    }
}
