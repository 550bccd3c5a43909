package nettlewick.ledger;

import static nettlewick.stubs.StubPlatform.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import nettlewick.core.Clock;
import nettlewick.core.Request;
import nettlewick.core.UsageRecorder;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.ledger.Entry.Kind;
import nettlewick.sqlite.StoreException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The books of a living process: what the disk does to it, clocks, closes, and two processes at once. */
@Timeout(60)
class LedgerTest {
    private static final double DECEMBER = 1796083200000.0;

    @TempDir
    private Path dir;

    private final List<Ledger> open = new ArrayList<>();

    private LedgerSettings settings(boolean sync, double patience, int queue) {
        return new LedgerSettings(
                dir,
                sync,
                2,
                2,
                patience,
                queue,
                new BillingCalendar(ZoneOffset.UTC, List.of()),
                15_000,
                List.of(),
                null);
    }

    private Ledger ledger(LedgerSettings settings, Clock clock, FaultInjection faults) {
        Ledger ledger = new Ledger("a", settings, clock, faults);
        open.add(ledger);
        ledger.start();
        return ledger;
    }

    @AfterEach
    void close() {
        open.forEach(Ledger::close);
    }

    private static UsageRecorder.FinishedRequest job(String id, Ending ending) {
        return new UsageRecorder.FinishedRequest(
                new Request(id, "c", "m", null, 0, 1, 0, 0, false, null, null), ending, DECEMBER, 1, 1000, false, 0);
    }

    /** A job whose answer is written as soon as it may leave. */
    private static void answer(Ledger ledger, String id, Set<String> left) {
        ledger.record(job(id, Ending.SERVED), receipt -> {
            synchronized (left) {
                left.add(id);
            }
            receipt.onDelivered();
        });
    }

    private List<Entry> entries() throws StoreException {
        List<Entry> all = new ArrayList<>();
        try (Store store = Store.read(dir)) {
            store.forEachEntry(all::add);
        }
        return all;
    }

    private static boolean has(Ledger ledger, String figure, long value) {
        return ledger.metrics().get("ledger." + figure).longValue() == value;
    }

    @Test
    void inSyncModeNoAnswerLeavesBeforeItsIntentIsForced() throws Exception {
        CountDownLatch slow = new CountDownLatch(1);
        AtomicInteger forced = new AtomicInteger();
        Ledger ledger = ledger(settings(true, 60_000, 100), Clock.system(), point -> {
            if (point.equals("spool-force")) {
                forced.incrementAndGet();
                await(slow);
            }
        });
        ledger.awaitReady();
        Set<String> left = new HashSet<>();
        answer(ledger, "held", left);
        until(() -> forced.get() > 0);
        assertFalse(left.contains("held"));
        slow.countDown();
        until(() -> left.contains("held"));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void aSlowDiskHoldsNoAnswerBeyondThePatienceAndNothingIsLost() throws Exception {
        CountDownLatch slow = new CountDownLatch(1);
        Ledger ledger = ledger(settings(true, 5, 100), Clock.system(), point -> {
            if (point.equals("spool-force")) {
                await(slow);
            }
        });
        ledger.awaitReady();
        Set<String> left = new HashSet<>();
        List<Runnable> overdue = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String id = "j" + i;
            overdue.add(ledger.record(job(id, Ending.SERVED), r -> {
                synchronized (left) {
                    left.add(id);
                }
                r.onDelivered();
            }));
        }
        overdue.forEach(Runnable::run);
        assertEquals(10, left.size());
        slow.countDown();
        until(() -> has(ledger, "entries", 10) && has(ledger, "queue", 0));
        assertEquals(10, entries().size());
        overdue.forEach(Runnable::run);
        assertEquals(10, left.size());
    }

    /**
     * The disk is full for a while: jobs are served, the queue is bounded, a gap entry tells what passed it.
     */
    @Test
    void aFullDiskCostsNoJobAndWhatPassesTheQueueIsAGapEntry() throws Exception {
        AtomicBoolean full = new AtomicBoolean(true);
        Ledger ledger = ledger(settings(false, 5, 20), Clock.system(), point -> {
            if (full.get() && !point.equals("open")) {
                throw new IOException("No space left on device");
            }
        });
        Set<String> left = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            answer(ledger, "j" + i, left);
        }
        until(() -> left.size() == 50);
        assertTrue(
                has(ledger, "queue", 20) && has(ledger, "gap", 30),
                ledger.metrics().toString());
        until(() -> has(ledger, "trouble", 1));
        full.set(false);
        until(() -> has(ledger, "queue", 0) && has(ledger, "trouble", 0));
        List<Entry> all = entries();
        assertEquals(20, all.stream().filter(e -> e.kind() == Kind.JOB).count());
        assertEquals(
                30,
                all.stream()
                        .filter(e -> e.kind() == Kind.GAP)
                        .mapToLong(Entry::requestNumber)
                        .sum());
        try (Store store = Store.read(dir)) {
            assertEquals(List.of(), store.verify());
        }
    }

    @Test
    void aSpoolThatCannotBeWrittenHoldsNothingUp() throws Exception {
        AtomicBoolean bad = new AtomicBoolean(true);
        Ledger ledger = ledger(settings(true, 60_000, 1000), Clock.system(), point -> {
            if (bad.get() && point.startsWith("spool")) {
                throw new IOException("read-only file system");
            }
        });
        Set<String> left = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            answer(ledger, "j" + i, left);
        }
        until(() -> left.size() == 100 && has(ledger, "entries", 100));
        assertTrue(has(ledger, "unsynced", 100), "each left without being on the disk: " + ledger.metrics());
        bad.set(false);
        answer(ledger, "last", left);
        until(() -> has(ledger, "entries", 101));
        assertEquals(101, entries().stream().map(Entry::requestId).distinct().count());
    }

    @Test
    void aDamagedStoreIsPutAsideAndANewOneBegins() throws Exception {
        Files.writeString(dir.resolve(Store.FILE_NAME), "no store, but a text that is long enough to be read as one");
        Ledger ledger = ledger(settings(false, 5, 100), Clock.system(), FaultInjection.NONE);
        Set<String> left = new HashSet<>();
        answer(ledger, "j", left);
        until(() -> has(ledger, "entries", 1));
        try (var files = Files.list(dir)) {
            assertTrue(files.anyMatch(f -> f.getFileName().toString().contains(".damaged-")));
        }
    }

    @Test
    void aClientThatLeavesIsCountedAndNotBilledWhicheverComesFirst() throws Exception {
        Ledger ledger = ledger(settings(false, 5, 100), Clock.system(), FaultInjection.NONE);
        ledger.record(job("before", Ending.LEFT), r -> {});
        ledger.record(job("after", Ending.SERVED), UsageRecorder.DeliveryCallback::onAbandoned);
        ledger.record(job("both", Ending.SERVED), r -> {
            r.onDelivered();
            r.onAbandoned();
        });
        until(() -> has(ledger, "entries", 3));
        assertEquals(
                Map.of("before", Ending.LEFT, "after", Ending.LEFT, "both", Ending.SERVED),
                entries().stream().collect(java.util.stream.Collectors.toMap(Entry::requestId, Entry::ending)));
        assertEquals(1000, entries().stream().mapToLong(Entry::workSlotMicros).sum());
    }

    /** A standing clock, one that jumps, and a job answered in the last and the first instant of a period. */
    @Test
    void theTimeOfTheLastByteDecidesThePeriod() throws Exception {
        Clock clock = Clock.stoppedAt(DECEMBER - 1);
        Ledger ledger = ledger(settings(false, 5, 100), clock, FaultInjection.NONE);
        List<UsageRecorder.DeliveryCallback> receipts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            ledger.record(job("j" + i, Ending.SERVED), r -> {
                synchronized (receipts) {
                    receipts.add(r);
                }
            });
        }
        until(() -> receipts.size() == 3);
        receipts.get(0).onDelivered();
        clock.advanceTo(DECEMBER);
        receipts.get(1).onDelivered();
        clock.advanceTo(DECEMBER + 40 * 8.64e7);
        receipts.get(2).onDelivered();
        until(() -> has(ledger, "entries", 3));
        LedgerAdmin desk = new LedgerAdmin(settings(false, 5, 100), clock);
        assertEquals(
                List.of("2026-11", "2026-12", "2027-01"),
                desk.statements(null).stream().map(Statement::period).toList());
    }

    /** Closing beside a living process waits for what it has answered; the answer decides, not the commit. */
    @Test
    void aCloseWaitsForWhatALivingProcessHasAnswered() throws Exception {
        Clock clock = Clock.stoppedAt(DECEMBER - 5);
        CountDownLatch commit = new CountDownLatch(1);
        AtomicBoolean hold = new AtomicBoolean();
        Ledger ledger = ledger(settings(false, 5, 100), clock, point -> {
            if (hold.get() && point.equals("gathered")) {
                await(commit);
            }
        });
        until(() -> ledger.origin() != null);
        hold.set(true);
        Set<String> left = new HashSet<>();
        answer(ledger, "early", left);
        until(() -> left.contains("early"));
        clock.advanceTo(DECEMBER + 5);
        LedgerAdmin desk = new LedgerAdmin(settings(false, 5, 100), clock);
        LedgerAdmin.CommandException soon =
                assertThrows(LedgerAdmin.CommandException.class, () -> desk.close("2026-12", "op"));
        assertTrue(soon.isUsageError() && soon.getMessage().contains("ends at"), soon.getMessage());
        Thread closer = new Thread(() -> {
            try {
                desk.close("2026-11", "op");
            } catch (LedgerAdmin.CommandException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        closer.start();
        try (Store store = Store.read(dir)) {
            until(() -> marked(store) == DECEMBER);
            assertNull(closing(), "held until the entry is durable");
        }
        hold.set(false);
        commit.countDown();
        closer.join();
        Statement statement = desk.statements("2026-11").get(0);
        assertTrue(statement.closed());
        assertEquals(1000, statement.billed());
        assertThrows(LedgerAdmin.CommandException.class, () -> desk.close("2026-11", "op"));
    }

    private static double marked(Store store) {
        try {
            return store.settlementRequestedUntil();
        } catch (StoreException e) {
            throw new IllegalStateException(e);
        }
    }

    private Entry closing() throws StoreException {
        return entries().stream()
                .filter(e -> e.kind() == Kind.CLOSE)
                .findFirst()
                .orElse(null);
    }

    @Test
    void aPeriodThatEndedWhileNobodyRanIsClosedFromWhatWasLeft() throws Exception {
        Clock clock = Clock.stoppedAt(DECEMBER - 5);
        Ledger ledger = ledger(settings(false, 5, 100), clock, FaultInjection.NONE);
        until(() -> ledger.origin() != null);
        answer(ledger, "j", new HashSet<>());
        ledger.close();
        LedgerAdmin desk = new LedgerAdmin(settings(false, 5, 100), Clock.stoppedAt(DECEMBER + 1));
        desk.close("2026-11", "op");
        assertEquals(1000, desk.statements("2026-11").get(0).billed());
        EntryRef target = entries().get(0).ref();
        desk.correct(target.toString(), 400, "op", "half of it was ours");
        assertEquals(1000, desk.statements("2026-11").get(0).billed());
        assertEquals(-600, desk.statements("2026-12").get(0).billed());
        for (String bad :
                List.of(target.toString(), "a/1/999", "nothing", closing().ref().toString())) {
            assertTrue(
                    assertThrows(LedgerAdmin.CommandException.class, () -> desk.correct(bad, 1, "op", "r"))
                            .isUsageError(),
                    bad);
        }
    }

    /** An upgrade: two processes on one store, each in a life of its own. */
    @Test
    void twoProcessesOnOneStoreEnterEachJobOnce() throws Exception {
        Ledger old = ledger(settings(false, 5, 10_000), Clock.system(), FaultInjection.NONE);
        Ledger heir = ledger(settings(true, 500, 10_000), Clock.system(), FaultInjection.NONE);
        Set<String> left = new HashSet<>();
        for (int i = 0; i < 2000; i++) {
            answer(i % 2 == 0 ? old : heir, "j" + i, left);
        }
        until(() -> left.size() == 2000);
        old.close();
        until(() -> has(old, "entries", 1000) && has(heir, "entries", 1000));
        heir.close();
        assertEquals(2000, entries().stream().map(Entry::requestId).distinct().count());
        assertEquals(2, entries().stream().map(e -> e.ref().origin()).distinct().count());
        try (Store store = Store.read(dir)) {
            assertEquals(List.of(), store.verify());
        }
        try (var files = Files.list(dir)) {
            assertTrue(files.noneMatch(f -> f.getFileName().toString().startsWith("spool-")));
        }
    }

    @Test
    void aClosedAndExportedPeriodIsArchivedAndComesBackTheSame() throws Exception {
        Clock clock = Clock.stoppedAt(DECEMBER - 5);
        Path out = dir.resolve("out");
        LedgerSettings s = new LedgerSettings(
                dir.resolve("s"),
                false,
                2,
                2,
                5,
                100,
                new BillingCalendar(ZoneOffset.UTC, List.of()),
                15_000,
                List.of(new ExportSettings("x", out, null, true, 50, 1, 100, 1, 10, 3)),
                null);
        Ledger ledger = new Ledger("a", s, clock);
        ledger.start();
        for (int i = 0; i < 20; i++) {
            answer(ledger, "j" + i, new HashSet<>());
        }
        until(() -> has(ledger, "entries", 20));
        ledger.close();
        LedgerAdmin desk = new LedgerAdmin(s, Clock.stoppedAt(DECEMBER + 1));
        Path file = dir.resolve("archive/2026-11.gz");
        assertTrue(assertThrows(LedgerAdmin.CommandException.class, () -> desk.archive("2026-11", file))
                .getMessage()
                .contains("not closed"));
        desk.close("2026-11", "op");
        Statement before = desk.statements("2026-11").get(0);
        desk.export(null);
        assertEquals(20, desk.archive("2026-11", file));
        assertThrows(LedgerAdmin.CommandException.class, () -> desk.statements("2026-11"));
        assertEquals(List.of(), desk.verify());
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 1;
        Path changed = Files.write(dir.resolve("changed"), bytes);
        assertTrue(assertThrows(LedgerAdmin.CommandException.class, () -> desk.restore("2026-11", changed))
                .getMessage()
                .contains("its sum is another"));
        assertEquals(20, desk.restore("2026-11", null));
        assertEquals(before, desk.statements("2026-11").get(0));
        assertEquals(List.of(), desk.verify());
    }
}
