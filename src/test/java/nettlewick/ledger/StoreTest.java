package nettlewick.ledger;

import static nettlewick.ledger.TestEntries.served;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.ledger.Entry.Kind;
import nettlewick.sqlite.StoreException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The store and the spool: hash chains, damage at every byte, and recovery of dead incarnations. */
class StoreTest {
    private static final double NOW = 1793491200000.0;

    private static final BillingCalendar CALENDAR = new BillingCalendar(java.time.ZoneOffset.UTC, List.of());

    @TempDir
    private Path dir;

    private static List<Entry> drafts(int count) {
        List<Entry> drafts = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            drafts.add(served(new EntryRef(new ChainOrigin("", 0), i), NOW + i, "m", i));
        }
        return drafts;
    }

    private Store open() throws StoreException {
        return Store.open(dir, "a", FaultInjection.NONE);
    }

    private void executeSql(String statement) throws Exception {
        try (Connection c = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve(Store.FILE_NAME))) {
            c.createStatement().execute(statement);
        }
    }

    @Test
    void entriesAreReadBackAndChainsContinueAfterReopening() throws Exception {
        Entry unusual = new Entry(
                new EntryRef(new ChainOrigin("", 0), 0),
                Kind.JOB,
                NOW,
                "a,\"b\"\nçé✓",
                "c",
                "r",
                "k",
                Ending.FAILED,
                Long.MAX_VALUE,
                true,
                -1,
                3,
                9,
                null,
                "by",
                "");
        ChainOrigin own;
        try (Store store = open()) {
            own = store.beginIncarnation(NOW);
            assertEquals(3, store.append(own, drafts(3)));
            assertEquals(4, store.append(own, List.of(unusual)));
        }
        try (Store store = open()) {
            assertEquals(5, store.append(own, drafts(1)));
            assertEquals(unusual.withRef(new EntryRef(own, 4)), store.entry(new EntryRef(own, 4)));
            assertEquals(List.of(), store.verify());
            ChainOrigin next = store.beginIncarnation(NOW);
            assertTrue(next.incarnation() > own.incarnation(), "two incarnations in one second have different numbers");
        }
        assertThrows(StoreException.class, () -> Store.open(dir, "b", FaultInjection.NONE));
    }

    /**
     * Guards against a close that cannot be written after thousands of incarnations, because its text exceeds the 64
     * KiB limit of writeUTF.
     */
    @Test
    void closeOverThousandsOfOriginsIsReadBack() throws Exception {
        java.util.Map<ChainOrigin, Long> lastNumbers = new java.util.TreeMap<>();
        for (int i = 0; i < 5000; i++) {
            lastNumbers.put(new ChainOrigin("college-nord-" + i % 300, 1_796_134_423L + i), (long) i + 1);
        }
        try (Store store = open()) {
            ChainOrigin own = store.beginIncarnation(NOW);
            Entry close = Entry.close(new EntryRef(own, 0), NOW, CALENDAR.periodAt(NOW), lastNumbers, "op");
            store.append(own, List.of(close));
            assertEquals(
                    lastNumbers, store.entry(new EntryRef(own, 1)).parseClose().lastNumbers());
        }
    }

    @Test
    void verifyLocatesTampering() throws Exception {
        ChainOrigin own;
        try (Store store = open()) {
            own = store.beginIncarnation(NOW);
            store.append(own, drafts(9));
        }
        byte[] other = served(new EntryRef(own, 4), NOW, "thief", 1).toBytes();
        StringBuilder hex = new StringBuilder();
        for (byte b : other) {
            hex.append(String.format("%02x", b));
        }
        executeSql("UPDATE entry SET bytes = x'" + hex + "' WHERE number = 4");
        executeSql("DELETE FROM entry WHERE number = 7");
        try (Store store = open()) {
            List<String> found = store.verify();
            assertEquals(2, found.size(), found.toString());
            assertTrue(found.get(0).startsWith(own + "/4: its hash"), found.toString());
            assertTrue(found.get(1).startsWith(own + "/8: entries 7 to 7 are missing"), found.toString());
        }
    }

    @Test
    void verifyFindsMissingTailOfAnExportedChain() throws Exception {
        try (Store store = open()) {
            ChainOrigin own = store.beginIncarnation(NOW);
            store.append(own, drafts(9));
            store.cutBatch("x", 100);
        }
        executeSql("DELETE FROM entry WHERE number > 6");
        try (Store store = open()) {
            assertTrue(
                    store.verify().get(0).contains("ends at 6, but entry 9"),
                    store.verify().toString());
        }
    }

    @Test
    void batchNeverChangesOnceCreated() throws Exception {
        try (Store store = open()) {
            ChainOrigin one = store.beginIncarnation(NOW);
            store.append(one, drafts(5));
            Store.Batch first = store.cutBatch("x", 4);
            byte[] bytes = Exporter.render(store, first, true).content();
            ChainOrigin two = store.beginIncarnation(NOW);
            store.append(two, drafts(2));
            store.append(one, drafts(2));
            Store.Batch second = store.cutBatch("x", 100);
            assertEquals(
                    List.of(new Store.Range(one.incarnation(), 5, 7), new Store.Range(two.incarnation(), 1, 2)),
                    second.ranges());
            assertArrayEquals(
                    bytes, Exporter.render(store, store.batch("x", 1), true).content());
            assertEquals(null, store.cutBatch("x", 100));
            assertEquals(9, store.exportLag("x"));
            assertEquals(first, store.pendingBatch("x"));
            store.markDelivered(first);
            assertEquals(5, store.exportLag("x"));
        }
    }

    @Test
    void damagedStoreIsRenamedNotDeleted() throws Exception {
        Files.writeString(dir.resolve(Store.FILE_NAME), "this is not SQLite at all, but long enough to be looked at");
        StoreException e = assertThrows(StoreException.class, this::open);
        assertTrue(e.isDamaged());
        Path renamed = Store.moveDamagedAside(dir, NOW);
        assertTrue(Files.readString(renamed).startsWith("this is not"));
        open().close();
    }

    // The spool

    private Spool spool(ChainOrigin own, long head) throws IOException {
        Spool spool = new Spool(dir, own, FaultInjection.NONE);
        spool.prepareSegment(head);
        return spool;
    }

    private static Entry draft(int job) {
        return new Entry(
                new EntryRef(new ChainOrigin("a", 7), 0),
                Kind.JOB,
                NOW + job,
                "m",
                "c",
                "r" + job,
                null,
                Ending.SERVED,
                job,
                false,
                0,
                1,
                job,
                null,
                null,
                null);
    }

    /** Releases the lock and keeps the files, as a killed process does. */
    private static void simulateKill(Spool spool) throws Exception {
        var field = Spool.class.getDeclaredField("lock");
        field.setAccessible(true);
        ((java.nio.channels.FileChannel) field.get(spool)).close();
    }

    @Test
    void requestsOfDeadIncarnationAreRecoveredOnce() throws Exception {
        try (Store store = open()) {
            ChainOrigin own = store.beginIncarnation(NOW);
            Spool spool = spool(own, 0);
            for (int job = 1; job <= 4; job++) {
                spool.recordIntent(draft(job));
            }
            spool.recordEnd(1, NOW + 50, true);
            spool.recordEnd(2, NOW + 51, false);
            spool.recordEnd(3, NOW + 52, true);
            spool.force();
            store.append(own, List.of(Spool.finalEntry(draft(1), NOW + 50, true)));
            assertTrue(Recovery.run(store, NOW, CALENDAR).isEmpty(), "the files of a live incarnation are left alone");
            simulateKill(spool);
            Recovery.Report report = Recovery.run(store, NOW, CALENDAR);
            assertEquals(2, report.answered());
            assertEquals(1, report.doubts());
            List<Entry> all = new ArrayList<>();
            store.forEachEntry(all::add);
            assertEquals(
                    List.of(1L, 2L, 3L, 4L),
                    all.stream().map(Entry::requestNumber).toList());
            assertEquals(
                    List.of(Ending.SERVED, Ending.LEFT, Ending.SERVED, Ending.SERVED),
                    all.stream().map(Entry::ending).toList());
            assertEquals(Kind.DOUBT, all.get(3).kind());
            assertEquals(0, all.get(1).workSlotMicros(), "work for a client that disconnected is not billed");
            assertTrue(Recovery.run(store, NOW, CALENDAR).isEmpty());
            assertEquals(List.of(), store.verify());
        }
    }

    /** A spool that is truncated anywhere yields the complete records before that point, and nothing else. */
    @Test
    void truncatedOrCorruptSpoolNeverYieldsAWrongRequest() throws Exception {
        ChainOrigin own = new ChainOrigin("a", 7);
        Spool spool = spool(own, 0);
        spool.recordIntent(draft(1));
        spool.recordEnd(1, NOW, true);
        spool.recordIntent(draft(2));
        spool.force();
        simulateKill(spool);
        Path file = dir.resolve("spool-7-000001.log");
        byte[] whole = Files.readAllBytes(file);
        int used = whole.length;
        while (whole[used - 1] == 0) {
            used--;
        }
        whole = java.util.Arrays.copyOf(whole, used + 9);
        int last = 0;
        for (int cut = 0; cut <= whole.length; cut++) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            Spool.Contents found = Spool.read(dir, 7);
            int jobs = found == null ? 0 : found.intents().size();
            assertTrue(jobs >= last && (found == null || found.damage().isEmpty()), "truncated at byte " + cut);
            if (cut > 0 && cut < 4) {
                continue;
            }
            // Files are allocated with zeros before they are written, so a killed process leaves zeros at the end.
            Files.write(file, java.util.Arrays.copyOf(java.util.Arrays.copyOf(whole, cut), whole.length));
            found = Spool.read(dir, 7);
            assertTrue(found == null || found.intents().size() <= 2, "zeros from byte " + cut);
            last = jobs;
        }
        assertEquals(2, last);
        for (int at = 0; at < whole.length; at++) {
            byte[] changed = whole.clone();
            changed[at] ^= 0x55;
            Files.write(file, changed);
            try {
                Spool.Contents found = Spool.read(dir, 7);
                if (found != null) {
                    for (Entry e : found.intents().values()) {
                        assertEquals(draft((int) e.requestNumber()).workSlotMicros(), e.workSlotMicros());
                    }
                }
            } catch (IOException e) {
                assertTrue(e.getMessage().contains("not a spool"), e.toString());
            }
        }
    }

    @Test
    void spoolOfLostStoreIsEnteredAsDoubtsInANewChain() throws Exception {
        ChainOrigin own = new ChainOrigin("a", 7);
        Spool spool = spool(own, 12);
        spool.recordIntent(draft(1));
        spool.recordEnd(1, NOW, true);
        spool.force();
        simulateKill(spool);
        try (Store store = open()) {
            assertEquals(1, Recovery.run(store, NOW, CALENDAR).doubts());
            assertEquals(0, store.head(own).number());
            assertEquals(1L, store.countByKind(true).get(Kind.DOUBT));
        }
    }

    @Test
    void segmentsAreDeletedOnceAllTheirRequestsAreEntered() throws Exception {
        ChainOrigin own = new ChainOrigin("a", 7);
        Spool spool = spool(own, 0);
        Random random = new Random(5);
        List<Spool.IntentTracker> trackers = new ArrayList<>();
        byte[] noise = new byte[9000];
        for (int job = 1; job <= 2000; job++) {
            random.nextBytes(noise);
            Entry d = draft(job);
            trackers.add(spool.recordIntent(new Entry(
                    d.ref(),
                    d.kind(),
                    d.timeMillis(),
                    "m",
                    "c",
                    java.util.HexFormat.of().formatHex(noise).substring(0, 9000),
                    null,
                    d.ending(),
                    job,
                    false,
                    0,
                    1,
                    job,
                    null,
                    null,
                    null)));
            spool.prepareSegment(0);
        }
        Spool.IntentTracker first = trackers.get(0);
        int jobs = (int) trackers.stream().filter(p -> p == first).count();
        assertTrue(jobs > 100 && jobs < 900, jobs + " requests in the first file");
        int before = spoolFileCount();
        first.markCommitted(jobs - 1);
        assertEquals(before, spoolFileCount(), "one request has no entry yet");
        first.markCommitted(1);
        assertEquals(before - 2, spoolFileCount(), "the mapped file and its synced copy are deleted");
        trackers.stream().filter(p -> p != first).forEach(p -> p.markCommitted(1));
        spool.close();
        assertEquals(0, spoolFileCount());
        assertFalse(Files.exists(dir.resolve("life-7.lock")));
    }

    private int spoolFileCount() throws IOException {
        try (var all = Files.list(dir)) {
            return (int) all.filter(f -> f.getFileName().toString().startsWith("spool-"))
                    .count();
        }
    }
}
