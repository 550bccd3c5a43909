package nettlewick.ledger;

import static nettlewick.stubs.StubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
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

/** The ledger of a running process: disk failures, clocks, closes, and two processes on one store. */
@Timeout(60)
class LedgerTest {
    private static final double DECEMBER = 1796083200000.0;

    @TempDir
    private Path dir;

    private final List<Ledger> ledgers = new ArrayList<>();

    private LedgerSettings settings(boolean sync, double releaseTimeoutMillis, int maxPending) {
        return new LedgerSettings(
                dir,
                sync,
                2,
                2,
                releaseTimeoutMillis,
                maxPending,
                new BillingCalendar(ZoneOffset.UTC, List.of()),
                15_000,
                List.of(),
                null);
    }

    private Ledger ledger(LedgerSettings settings, Clock clock, FaultInjection faults) {
        Ledger ledger = new Ledger("a", settings, clock, faults);
        ledgers.add(ledger);
        ledger.start();
        return ledger;
    }

    @AfterEach
    void close() {
        ledgers.forEach(Ledger::close);
    }

    private static UsageRecorder.FinishedRequest finishedRequest(String id, Ending ending) {
        return new UsageRecorder.FinishedRequest(
                new Request(id, "c", "m", null, 0, 1, 0, 0, false, null, null), ending, DECEMBER, 1, 1000, false, 0);
    }

    /** Records a request whose answer is delivered as soon as it is released. */
    private static void recordAndDeliver(Ledger ledger, String id, Set<String> released) {
        ledger.record(finishedRequest(id, Ending.SERVED), receipt -> {
            synchronized (released) {
                released.add(id);
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

    private static boolean metricEquals(Ledger ledger, String metric, long value) {
        return ledger.metrics().get("ledger." + metric).longValue() == value;
    }

    /** Guards against a heap full of bodies of requests whose answers were released and are still being written. */
    @Test
    void aReleasedAnswerIsNotKeptUntilItsDelivery() throws Exception {
        Ledger ledger = ledger(settings(true, 60_000, 100), Clock.system(), point -> {});
        ledger.awaitReady();
        List<UsageRecorder.DeliveryCallback> undelivered = new CopyOnWriteArrayList<>();
        List<Runnable> timeouts = new ArrayList<>();
        WeakReference<byte[]> body = recordWithBody(ledger, undelivered, timeouts);
        waitUntil(() -> undelivered.size() == 1);
        waitUntil(() -> {
            System.gc();
            return body.get() == null;
        });
        timeouts.forEach(Runnable::run);
        assertEquals(1, undelivered.size());
    }

    /** Records a request whose answer refers to a body that the caller does not keep. */
    private static WeakReference<byte[]> recordWithBody(
            Ledger ledger, List<UsageRecorder.DeliveryCallback> undelivered, List<Runnable> timeouts) {
        byte[] body = new byte[1];
        timeouts.add(ledger.record(finishedRequest("a", Ending.SERVED), receipt -> {
            Objects.requireNonNull(body);
            undelivered.add(receipt);
        }));
        return new WeakReference<>(body);
    }

    @Test
    void inSyncModeAnswersAreHeldUntilTheirIntentIsSynced() throws Exception {
        CountDownLatch diskReady = new CountDownLatch(1);
        AtomicInteger syncs = new AtomicInteger();
        Ledger ledger = ledger(settings(true, 60_000, 100), Clock.system(), point -> {
            if (point.equals("spool-force")) {
                syncs.incrementAndGet();
                await(diskReady);
            }
        });
        ledger.awaitReady();
        Set<String> released = new HashSet<>();
        recordAndDeliver(ledger, "held", released);
        waitUntil(() -> syncs.get() > 0);
        assertFalse(released.contains("held"));
        diskReady.countDown();
        waitUntil(() -> released.contains("held"));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void slowDiskHoldsNoAnswerBeyondTheTimeoutAndLosesNothing() throws Exception {
        CountDownLatch diskReady = new CountDownLatch(1);
        Ledger ledger = ledger(settings(true, 5, 100), Clock.system(), point -> {
            if (point.equals("spool-force")) {
                await(diskReady);
            }
        });
        ledger.awaitReady();
        Set<String> released = new HashSet<>();
        List<Runnable> timeouts = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String id = "j" + i;
            timeouts.add(ledger.record(finishedRequest(id, Ending.SERVED), r -> {
                synchronized (released) {
                    released.add(id);
                }
                r.onDelivered();
            }));
        }
        timeouts.forEach(Runnable::run);
        assertEquals(10, released.size());
        diskReady.countDown();
        waitUntil(() -> metricEquals(ledger, "entries", 10) && metricEquals(ledger, "queue", 0));
        assertEquals(10, entries().size());
        timeouts.forEach(Runnable::run);
        assertEquals(10, released.size());
    }

    /**
     * While the disk is full, requests are served, the queue is bounded, and a gap entry covers the requests beyond it.
     */
    @Test
    void fullDiskRejectsNoRequestAndOverflowBecomesAGapEntry() throws Exception {
        AtomicBoolean full = new AtomicBoolean(true);
        Ledger ledger = ledger(settings(false, 5, 20), Clock.system(), point -> {
            if (full.get() && !point.equals("open")) {
                throw new IOException("No space left on device");
            }
        });
        Set<String> released = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            recordAndDeliver(ledger, "j" + i, released);
        }
        waitUntil(() -> released.size() == 50);
        assertTrue(
                metricEquals(ledger, "queue", 20) && metricEquals(ledger, "gap", 30),
                ledger.metrics().toString());
        waitUntil(() -> metricEquals(ledger, "trouble", 1));
        full.set(false);
        waitUntil(() -> metricEquals(ledger, "queue", 0) && metricEquals(ledger, "trouble", 0));
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
    void unwritableSpoolHoldsNoAnswer() throws Exception {
        AtomicBoolean failing = new AtomicBoolean(true);
        Ledger ledger = ledger(settings(true, 60_000, 1000), Clock.system(), point -> {
            if (failing.get() && point.startsWith("spool")) {
                throw new IOException("read-only file system");
            }
        });
        Set<String> released = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            recordAndDeliver(ledger, "j" + i, released);
        }
        waitUntil(() -> released.size() == 100 && metricEquals(ledger, "entries", 100));
        assertTrue(metricEquals(ledger, "unsynced", 100), "each was released without a sync: " + ledger.metrics());
        failing.set(false);
        recordAndDeliver(ledger, "last", released);
        waitUntil(() -> metricEquals(ledger, "entries", 101));
        assertEquals(101, entries().stream().map(Entry::requestId).distinct().count());
    }

    @Test
    void damagedStoreIsRenamedAndReplaced() throws Exception {
        Files.writeString(dir.resolve(Store.FILE_NAME), "no store, but a text that is long enough to be read as one");
        Ledger ledger = ledger(settings(false, 5, 100), Clock.system(), FaultInjection.NONE);
        Set<String> released = new HashSet<>();
        recordAndDeliver(ledger, "j", released);
        waitUntil(() -> metricEquals(ledger, "entries", 1));
        try (var files = Files.list(dir)) {
            assertTrue(files.anyMatch(f -> f.getFileName().toString().contains(".damaged-")));
        }
    }

    @Test
    void disconnectedClientIsCountedButNotBilledInAnyOrder() throws Exception {
        Ledger ledger = ledger(settings(false, 5, 100), Clock.system(), FaultInjection.NONE);
        ledger.record(finishedRequest("before", Ending.LEFT), r -> {});
        ledger.record(finishedRequest("after", Ending.SERVED), UsageRecorder.DeliveryCallback::onAbandoned);
        ledger.record(finishedRequest("both", Ending.SERVED), r -> {
            r.onDelivered();
            r.onAbandoned();
        });
        waitUntil(() -> metricEquals(ledger, "entries", 3));
        assertEquals(
                Map.of("before", Ending.LEFT, "after", Ending.LEFT, "both", Ending.SERVED),
                entries().stream().collect(java.util.stream.Collectors.toMap(Entry::requestId, Entry::ending)));
        assertEquals(1000, entries().stream().mapToLong(Entry::workSlotMicros).sum());
    }

    /** A stopped clock, one that jumps, and requests answered in the last and the first instant of a period. */
    @Test
    void timeOfTheLastByteDecidesThePeriod() throws Exception {
        Clock clock = Clock.stoppedAt(DECEMBER - 1);
        Ledger ledger = ledger(settings(false, 5, 100), clock, FaultInjection.NONE);
        List<UsageRecorder.DeliveryCallback> callbacks = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            ledger.record(finishedRequest("j" + i, Ending.SERVED), r -> {
                synchronized (callbacks) {
                    callbacks.add(r);
                }
            });
        }
        waitUntil(() -> callbacks.size() == 3);
        callbacks.get(0).onDelivered();
        clock.advanceTo(DECEMBER);
        callbacks.get(1).onDelivered();
        clock.advanceTo(DECEMBER + 40 * 8.64e7);
        callbacks.get(2).onDelivered();
        waitUntil(() -> metricEquals(ledger, "entries", 3));
        LedgerAdmin admin = new LedgerAdmin(settings(false, 5, 100), clock);
        assertEquals(
                List.of("2026-11", "2026-12", "2027-01"),
                admin.statements(null).stream().map(Statement::period).toList());
    }

    /**
     * A close waits for what a running process has answered; the time of the answer decides, not that of the commit.
     */
    @Test
    void closeWaitsForAnswersOfARunningProcess() throws Exception {
        Clock clock = Clock.stoppedAt(DECEMBER - 5);
        CountDownLatch commit = new CountDownLatch(1);
        AtomicBoolean holdCommits = new AtomicBoolean();
        Ledger ledger = ledger(settings(false, 5, 100), clock, point -> {
            if (holdCommits.get() && point.equals("gathered")) {
                await(commit);
            }
        });
        waitUntil(() -> ledger.origin() != null);
        holdCommits.set(true);
        Set<String> released = new HashSet<>();
        recordAndDeliver(ledger, "early", released);
        waitUntil(() -> released.contains("early"));
        clock.advanceTo(DECEMBER + 5);
        LedgerAdmin admin = new LedgerAdmin(settings(false, 5, 100), clock);
        LedgerAdmin.OperationException tooEarly =
                assertThrows(LedgerAdmin.OperationException.class, () -> admin.close("2026-12", "op"));
        assertTrue(tooEarly.isUsageError() && tooEarly.getMessage().contains("ends at"), tooEarly.getMessage());
        Thread closer = new Thread(() -> {
            try {
                admin.close("2026-11", "op");
            } catch (LedgerAdmin.OperationException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        closer.start();
        try (Store store = Store.read(dir)) {
            waitUntil(() -> settlementRequestedUntil(store) == DECEMBER);
            assertNull(closeEntry(), "the close waits until the entry is durable");
        }
        holdCommits.set(false);
        commit.countDown();
        closer.join();
        Statement statement = admin.statements("2026-11").get(0);
        assertTrue(statement.closed());
        assertEquals(1000, statement.billed());
        assertThrows(LedgerAdmin.OperationException.class, () -> admin.close("2026-11", "op"));
    }

    private static double settlementRequestedUntil(Store store) {
        try {
            return store.settlementRequestedUntil();
        } catch (StoreException e) {
            throw new IllegalStateException(e);
        }
    }

    private Entry closeEntry() throws StoreException {
        return entries().stream()
                .filter(e -> e.kind() == Kind.CLOSE)
                .findFirst()
                .orElse(null);
    }

    @Test
    void periodIsClosedAfterTheProcessHasEnded() throws Exception {
        Clock clock = Clock.stoppedAt(DECEMBER - 5);
        Ledger ledger = ledger(settings(false, 5, 100), clock, FaultInjection.NONE);
        waitUntil(() -> ledger.origin() != null);
        recordAndDeliver(ledger, "j", new HashSet<>());
        ledger.close();
        LedgerAdmin admin = new LedgerAdmin(settings(false, 5, 100), Clock.stoppedAt(DECEMBER + 1));
        admin.close("2026-11", "op");
        assertEquals(1000, admin.statements("2026-11").get(0).billed());
        EntryRef target = entries().get(0).ref();
        admin.correct(target.toString(), 400, "op", "half of it was ours");
        assertEquals(1000, admin.statements("2026-11").get(0).billed());
        assertEquals(-600, admin.statements("2026-12").get(0).billed());
        for (String bad : List.of(
                target.toString(), "a/1/999", "nothing", closeEntry().ref().toString())) {
            assertTrue(
                    assertThrows(LedgerAdmin.OperationException.class, () -> admin.correct(bad, 1, "op", "r"))
                            .isUsageError(),
                    bad);
        }
    }

    /** As in a hot restart: two processes on one store, each with its own incarnation. */
    @Test
    void twoProcessesOnOneStoreEnterEachRequestOnce() throws Exception {
        Ledger old = ledger(settings(false, 5, 10_000), Clock.system(), FaultInjection.NONE);
        Ledger successor = ledger(settings(true, 500, 10_000), Clock.system(), FaultInjection.NONE);
        Set<String> released = new HashSet<>();
        for (int i = 0; i < 2000; i++) {
            recordAndDeliver(i % 2 == 0 ? old : successor, "j" + i, released);
        }
        waitUntil(() -> released.size() == 2000);
        old.close();
        waitUntil(() -> metricEquals(old, "entries", 1000) && metricEquals(successor, "entries", 1000));
        successor.close();
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
    void archivedPeriodIsRestoredUnchanged() throws Exception {
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
            recordAndDeliver(ledger, "j" + i, new HashSet<>());
        }
        waitUntil(() -> metricEquals(ledger, "entries", 20));
        ledger.close();
        LedgerAdmin admin = new LedgerAdmin(s, Clock.stoppedAt(DECEMBER + 1));
        Path file = dir.resolve("archive/2026-11.gz");
        assertTrue(assertThrows(LedgerAdmin.OperationException.class, () -> admin.archive("2026-11", file))
                .getMessage()
                .contains("not closed"));
        admin.close("2026-11", "op");
        Statement before = admin.statements("2026-11").get(0);
        admin.export(null);
        assertEquals(20, admin.archive("2026-11", file));
        assertThrows(LedgerAdmin.OperationException.class, () -> admin.statements("2026-11"));
        assertEquals(List.of(), admin.verify());
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 1;
        Path changed = Files.write(dir.resolve("changed"), bytes);
        assertTrue(assertThrows(LedgerAdmin.OperationException.class, () -> admin.restore("2026-11", changed))
                .getMessage()
                .contains("its SHA-256 differs"));
        assertEquals(20, admin.restore("2026-11", null));
        assertEquals(before, admin.statements("2026-11").get(0));
        assertEquals(List.of(), admin.verify());
    }
}
