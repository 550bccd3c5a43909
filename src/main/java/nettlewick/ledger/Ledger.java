package nettlewick.ledger;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import nettlewick.core.Clock;
import nettlewick.core.Request;
import nettlewick.core.UsageRecorder;
import nettlewick.log.ComponentLogger;
import nettlewick.sqlite.StoreException;

/**
 * Records the usage of a dispatcher process. The core thread appends an intent and the event loop an end, both by a
 * copy into the mapped memory of the spool. One thread syncs the spool and releases the answers that wait for it;
 * another commits ended requests to the store. Answers are released whatever happens to the disk, and requests that
 * cannot be entered are counted.
 */
public final class Ledger implements UsageRecorder, AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("ledger");
    /** Pause before disk operations are retried after a failure. */
    private static final double RETRY_DELAY_MILLIS = 1000;

    private static final int MAX_SYNC_GROUP = 4096;
    private static final int MAX_COMMIT_ENTRIES = 20_000;
    private static final long SETTLEMENT_POLL_MILLIS = 200;
    private static final long CLOSE_TIMEOUT_SECONDS = 10;
    private static final long OPEN_TIMEOUT_SECONDS = 15;
    private static final ChainOrigin NO_ORIGIN = new ChainOrigin("", 0);

    /** A request from the decision of its end until its entry is committed. */
    private final class PendingEntry implements DeliveryCallback {
        final Entry draft;
        /** Releases the answer; null once it is released, since it holds the request and its body. */
        final AtomicReference<Consumer<DeliveryCallback>> send;

        Spool.IntentTracker tracker;
        boolean endRecorded;
        volatile Entry finalEntry;

        PendingEntry(Entry draft, Consumer<DeliveryCallback> send) {
            this.draft = draft;
            this.send = new AtomicReference<>(send);
        }

        void release() {
            Consumer<DeliveryCallback> unreleased = send.getAndSet(null);
            if (unreleased != null) {
                unreleased.accept(this);
            }
        }

        boolean isReleased() {
            return send.get() == null;
        }

        @Override
        public void onDelivered() {
            end(true);
        }

        @Override
        public void onAbandoned() {
            end(false);
        }

        private void end(boolean answered) {
            // The time is read under the lock: otherwise it could be earlier than the time of a flush marker that is
            // already in the queue.
            synchronized (lock) {
                if (!endRecorded) {
                    endRecorded = true;
                    double endedAt = clock.nowMillis();
                    finalEntry = Spool.finalEntry(draft, endedAt, answered).withPeriod(settings.calendar());
                    Spool currentSpool = spool;
                    if (tracker != null && currentSpool != null) {
                        currentSpool.recordEnd(draft.requestNumber(), endedAt, answered);
                    }
                    ended.add(this);
                }
            }
        }
    }

    /** Queue marker: all requests that were answered before this time precede it in the queue. */
    private record FlushMarker(double settledUntil) {}

    private final String dispatcher;
    private final Clock clock;
    private final FaultInjection faults;
    private volatile LedgerSettings settings;
    private final Object lock = new Object();
    /** Answers that wait until their intents are synced. */
    private final LinkedBlockingQueue<PendingEntry> awaitingSync = new LinkedBlockingQueue<>();

    private final ConcurrentLinkedQueue<Object> ended = new ConcurrentLinkedQueue<>();
    private volatile Spool spool;
    private final AtomicLong requestCount = new AtomicLong();
    /** Requests held in memory, from the decision of the end until the entry is committed. */
    private final AtomicInteger pendingCount = new AtomicInteger();

    private final Thread syncThread;
    private final Thread storeThread;
    private final List<Spool> spools = new java.util.concurrent.CopyOnWriteArrayList<>();
    /** Counted down once intents can be written, or writing them has failed. */
    private final CountDownLatch ready = new CountDownLatch(1);

    private volatile boolean stopping;
    private volatile boolean syncThreadDone;
    private volatile ChainOrigin currentOrigin = NO_ORIGIN;
    private volatile long committedNumber;
    // Metrics
    private final AtomicLong committedCount = new AtomicLong();
    private final AtomicLong doubtCount = new AtomicLong();
    private final AtomicLong missedCount = new AtomicLong();
    private final AtomicLong unsyncedCount = new AtomicLong();
    private volatile int consecutiveFailures;
    private volatile Map<String, Long> exportLags = Map.of();
    // A gap that is not committed yet; guarded by lock
    private double gapFrom;
    private double gapTo;
    private long gapCount;

    public Ledger(String dispatcher, LedgerSettings settings, Clock clock) {
        this(dispatcher, settings, clock, FaultInjection.NONE);
    }

    Ledger(String dispatcher, LedgerSettings settings, Clock clock, FaultInjection faults) {
        this.dispatcher = dispatcher;
        this.settings = settings;
        this.clock = clock;
        this.faults = faults;
        syncThread = new Thread(this::runSyncLoop, "ledger-spool");
        storeThread = new Thread(this::runStoreLoop, "ledger-store");
        syncThread.setDaemon(true);
        storeThread.setDaemon(true);
    }

    /** Starts the threads, which open the store and retry if that fails. */
    public void start() {
        storeThread.start();
        syncThread.start();
    }

    /**
     * Waits until intents can be written, or writing them has failed. Requests that are answered earlier are in memory
     * only, and would be lost if the process were killed.
     */
    public void awaitReady() {
        try {
            if (!ready.await(OPEN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                LOG.warning(
                        "opens-slowly",
                        "the ledger is not open after " + OPEN_TIMEOUT_SECONDS
                                + " s; requests are served and their entries held in memory");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Applies the settings that may change at run time. */
    public void reload(LedgerSettings next) {
        settings = next;
    }

    LedgerSettings settings() {
        return settings;
    }

    @Override
    public double timeoutMillis() {
        return settings.releaseTimeoutMillis();
    }

    /** Sets the numbers of entries that the exports have not delivered yet, for the metrics. */
    void exportLags(Map<String, Long> undelivered) {
        exportLags = Map.copyOf(undelivered);
    }

    /**
     * Monotonic time in milliseconds for pauses and timeouts, independent of the clock that dates entries, which may
     * stand still.
     */
    static double monotonicMillis() {
        return System.nanoTime() / 1e6;
    }

    // Called by the core

    @Override
    public Runnable record(FinishedRequest finished, Consumer<DeliveryCallback> release) {
        if (pendingCount.get() >= settings.maxPending()) {
            synchronized (lock) {
                gapFrom = gapCount == 0 ? finished.decidedAtMillis() : gapFrom;
                gapTo = finished.decidedAtMillis();
                gapCount++;
            }
            missedCount.incrementAndGet();
            release.accept(DeliveryCallback.NONE);
            return null;
        }
        pendingCount.incrementAndGet();
        PendingEntry pending = new PendingEntry(draftEntry(finished), release);
        Spool currentSpool = spool;
        pending.tracker = currentSpool == null ? null : currentSpool.recordIntent(pending.draft);
        if (finished.ending() == Ending.LEFT) {
            release.accept(DeliveryCallback.NONE);
            pending.send.set(null);
            pending.onAbandoned();
            return null;
        }
        if (!settings.sync() || pending.tracker == null) {
            unsyncedCount.addAndGet(pending.tracker == null ? 1 : 0);
            pending.release();
            return null;
        }
        awaitingSync.add(pending);
        return () -> {
            if (!pending.isReleased()) {
                unsyncedCount.incrementAndGet();
                pending.release();
            }
        };
    }

    private Entry draftEntry(FinishedRequest finished) {
        Request request = finished.request();
        String key = request.payload() instanceof Request.IdempotencyKeyed keyed ? keyed.idempotencyKey() : null;
        return new Entry(
                new EntryRef(NO_ORIGIN, 0),
                Entry.Kind.JOB,
                finished.decidedAtMillis(),
                Entry.truncate(request.tenant()),
                Entry.truncate(request.requestClass()),
                Entry.truncate(request.id()),
                key == null ? null : Entry.hashKey(key),
                finished.ending(),
                finished.workSlotMicros(),
                finished.isEstimate(),
                finished.extraWorkSlotMicros(),
                finished.attemptCount(),
                requestCount.incrementAndGet(),
                null,
                null,
                null);
    }

    // Sync thread: creates and syncs the spool files, and releases the answers that wait for that

    private void runSyncLoop() {
        double retryAt = 0;
        List<PendingEntry> group = new ArrayList<>();
        try {
            while (!stopping || !awaitingSync.isEmpty()) {
                group.clear();
                PendingEntry first = awaitingSync.poll(
                        (long) Math.min(settings.batchMillis(), SETTLEMENT_POLL_MILLIS), TimeUnit.MILLISECONDS);
                if (first != null) {
                    group.add(first);
                    awaitingSync.drainTo(group, MAX_SYNC_GROUP);
                }
                boolean synced = false;
                if (monotonicMillis() >= retryAt) {
                    try {
                        syncSpool();
                        synced = true;
                    } catch (IOException | RuntimeException e) {
                        retryAt = monotonicMillis() + RETRY_DELAY_MILLIS;
                        reportFailure(
                                "spool-failed",
                                "cannot write the spool; answers are released without waiting " + "for it: " + e);
                    }
                }
                if (!synced) {
                    unsyncedCount.addAndGet(
                            group.stream().filter(i -> !i.isReleased()).count());
                }
                group.forEach(this::releaseAnswer);
            }
            Spool last = spool;
            if (last != null) {
                last.force();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            reportFailure("spool-failed", "cannot write the spool at shutdown: " + e);
        } finally {
            syncThreadDone = true;
        }
    }

    private void syncSpool() throws IOException {
        ChainOrigin wantedOrigin = currentOrigin;
        Spool active = spool;
        if (active != null) {
            active.force();
        }
        if (wantedOrigin != NO_ORIGIN && (active == null || !active.origin().equals(wantedOrigin))) {
            // The files of an incarnation are kept until its requests are entered, possibly under the next incarnation.
            active = spools.stream()
                    .filter(s -> s.origin().equals(wantedOrigin))
                    .findFirst()
                    .orElse(null);
            if (active == null) {
                active = new Spool(settings.store(), wantedOrigin, faults);
                spools.add(active);
            }
        }
        if (active != null) {
            // The first call creates the current file if there is none, the second the next one.
            active.prepareSegment(committedNumber);
            active.prepareSegment(committedNumber);
            spool = active;
            ready.countDown();
        }
    }

    private void releaseAnswer(PendingEntry pending) {
        try {
            pending.release();
        } catch (RuntimeException e) {
            LOG.error("release-failed", "failed to release an answer", e, "request", pending.draft.requestId());
        }
    }

    // Store thread

    private void runStoreLoop() {
        Store store = null;
        List<PendingEntry> items = new ArrayList<>();
        double lastSettlementPoll = 0;
        double settledUntil = 0;
        try {
            while (true) {
                boolean stopAfterCommit = stopping && syncThreadDone && ended.isEmpty();
                try {
                    if (store == null) {
                        store = openStore();
                    }
                    settledUntil = Math.max(settledUntil, drainEnded(items, stopAfterCommit));
                    injectFault("gathered");
                    commit(store, items);
                    if (settledUntil > 0) {
                        store.recordSettled(currentOrigin, settledUntil);
                        settledUntil = 0;
                    }
                    if (monotonicMillis() - lastSettlementPoll >= SETTLEMENT_POLL_MILLIS) {
                        lastSettlementPoll = monotonicMillis();
                        settleIfRequested(store);
                    }
                    consecutiveFailures = 0;
                    if (stopAfterCommit && items.isEmpty()) {
                        return;
                    }
                } catch (StoreException e) {
                    reportFailure(
                            "store-failed",
                            "cannot commit to the store; entries are held in memory: " + e.getMessage());
                    store = handleStoreFailure(store, e);
                    if (stopAfterCommit) {
                        LOG.warning(
                                "not-entered",
                                items.size() + " requests are not entered yet; the next start "
                                        + "recovers those that are in the spool",
                                "jobs",
                                items.size());
                        return;
                    }
                    TimeUnit.MILLISECONDS.sleep((long) RETRY_DELAY_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (store != null) {
                store.close();
            }
        }
    }

    private Store openStore() throws StoreException {
        Store store = Store.open(settings.store(), dispatcher, faults);
        try {
            if (currentOrigin == NO_ORIGIN) {
                Recovery.Report report = Recovery.run(store, clock.nowMillis(), settings.calendar());
                doubtCount.addAndGet(report.doubts());
                if (!report.isEmpty()) {
                    LOG.info(
                            "recovered",
                            "recovered " + report.answered() + " answered requests, "
                                    + report.doubts()
                                    + " in doubt" + (report.damage().isEmpty() ? "" : "; damage: " + report.damage()),
                            "answered",
                            report.answered(),
                            "doubts",
                            report.doubts());
                }
                currentOrigin = store.beginIncarnation(clock.nowMillis());
            }
            return store;
        } catch (StoreException e) {
            store.close();
            throw e;
        }
    }

    /**
     * Replaces a damaged store with a new one and starts a new incarnation. The damaged file is kept under another
     * name, since it is evidence for the billing.
     */
    private Store handleStoreFailure(Store store, StoreException e) {
        if (!e.isDamaged()) {
            return store;
        }
        if (store != null) {
            store.close();
        }
        try {
            LOG.warning(
                    "store-put-aside",
                    "the store is damaged; it was renamed to "
                            + Store.moveDamagedAside(settings.store(), clock.nowMillis())
                            + " and a new one is created");
            currentOrigin = NO_ORIGIN;
            committedNumber = 0;
        } catch (IOException moved) {
            reportFailure("store-failed", "cannot rename the damaged store: " + moved);
        }
        return null;
    }

    private void injectFault(String name) throws StoreException {
        try {
            faults.at(name);
        } catch (IOException e) {
            throw new StoreException(e.getMessage(), e, false);
        }
    }

    /**
     * Collects the requests that have ended since the last commit.
     *
     * @return the time before which all answered requests are collected; 0 if unknown
     */
    private double drainEnded(List<PendingEntry> items, boolean finalRound) throws InterruptedException {
        double settledUntil = 0;
        if (!finalRound && !stopping && items.isEmpty()) {
            TimeUnit.MICROSECONDS.sleep((long) (settings.commitMillis() * 1000));
        }
        while (items.size() < MAX_COMMIT_ENTRIES) {
            Object next = ended.poll();
            if (next == null) {
                return settledUntil;
            }
            if (next instanceof PendingEntry item) {
                items.add(item);
            } else if (next instanceof FlushMarker f) {
                settledUntil = f.settledUntil();
            }
        }
        return settledUntil;
    }

    private void commit(Store store, List<PendingEntry> items) throws StoreException {
        List<Entry> drafts = new ArrayList<>(items.size() + 1);
        items.forEach(i -> drafts.add(i.finalEntry));
        long gapRequests;
        synchronized (lock) {
            gapRequests = gapCount;
            if (gapRequests > 0) {
                drafts.add(Entry.gap(new EntryRef(currentOrigin, 0), gapFrom, gapTo, gapRequests));
            }
        }
        if (drafts.isEmpty()) {
            return;
        }
        committedNumber = store.append(currentOrigin, drafts);
        synchronized (lock) {
            gapCount -= gapRequests;
            gapFrom = gapTo;
        }
        if (gapRequests > 0) {
            LOG.warning(
                    "gap",
                    gapRequests + " requests could not be entered individually and are covered by a gap entry",
                    "jobs",
                    gapRequests);
        }
        committedCount.addAndGet(items.size());
        pendingCount.addAndGet(-items.size());
        Map<Spool.IntentTracker, Integer> trackers = new java.util.IdentityHashMap<>();
        items.stream().filter(i -> i.tracker != null).forEach(i -> trackers.merge(i.tracker, 1, Integer::sum));
        trackers.forEach(Spool.IntentTracker::markCommitted);
        items.clear();
    }

    /** Queues a flush marker if a command that closes a period waits for this incarnation. */
    private void settleIfRequested(Store store) throws StoreException {
        double requestedUntil = store.settlementRequestedUntil();
        if (requestedUntil > 0
                && clock.nowMillis() >= requestedUntil
                && store.settledUntil(currentOrigin.incarnation()) < requestedUntil) {
            synchronized (lock) {
                ended.add(new FlushMarker(clock.nowMillis()));
            }
        }
    }

    private void reportFailure(String event, String message) {
        consecutiveFailures++;
        ready.countDown();
        LOG.warning(event, message, "held", pendingCount.get(), "missed", missedCount.get());
    }

    @Override
    public Map<String, Number> metrics() {
        Map<String, Number> metrics = new LinkedHashMap<>();
        metrics.put("ledger.entries", committedCount.get());
        metrics.put("ledger.in_doubt", doubtCount.get());
        metrics.put("ledger.queue", pendingCount.get());
        metrics.put("ledger.gap", missedCount.get());
        metrics.put("ledger.unsynced", unsyncedCount.get());
        metrics.put("ledger.trouble", consecutiveFailures > 0 ? 1 : 0);
        exportLags.forEach((name, lag) -> metrics.put("ledger.export." + name + ".lag", lag));
        return metrics;
    }

    /** The origin that is currently written, or null while the store is not open. */
    ChainOrigin origin() {
        return currentOrigin == NO_ORIGIN ? null : currentOrigin;
    }

    /**
     * Commits what has ended and closes the store; requests without a known end stay in the spool for recovery at the
     * next start.
     */
    @Override
    public void close() {
        stopping = true;
        try {
            syncThread.join(TimeUnit.SECONDS.toMillis(CLOSE_TIMEOUT_SECONDS));
            storeThread.join(TimeUnit.SECONDS.toMillis(CLOSE_TIMEOUT_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!syncThread.isAlive()) {
            spools.forEach(Spool::close);
        }
    }
}
