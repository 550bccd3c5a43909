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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import nettlewick.core.Clock;
import nettlewick.core.Request;
import nettlewick.core.UsageRecorder;
import nettlewick.log.ComponentLogger;
import nettlewick.sqlite.StoreException;

/**
 * The books of a dispatcher that serves. The core notes an intent, the event loop an end, both by a copy into
 * the
 * spool's memory; one thread forces the spool and lets answers go that wait for that, another enters ended
 * jobs
 * in the store. Whatever the disk does, answers leave, and what cannot be entered is counted.
 */
public final class Ledger implements UsageRecorder, AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("ledger");
    /** Pause after a failure of the disk before it is tried again. */
    private static final double RETRY_DELAY_MILLIS = 1000;

    private static final int MAX_SYNC_GROUP = 4096;
    private static final int MAX_COMMIT_ENTRIES = 20_000;
    private static final long SETTLEMENT_POLL_MILLIS = 200;
    private static final long CLOSE_TIMEOUT_SECONDS = 10;
    private static final long OPEN_TIMEOUT_SECONDS = 15;
    private static final ChainOrigin NO_ORIGIN = new ChainOrigin("", 0);

    /** A job from its end's decision to its entry. */
    private final class PendingEntry implements DeliveryCallback {
        final Entry draft;
        final Consumer<DeliveryCallback> send;
        final AtomicBoolean released = new AtomicBoolean();
        Spool.IntentTracker tracker;
        boolean endRecorded;
        volatile Entry finalEntry;

        PendingEntry(Entry draft, Consumer<DeliveryCallback> send) {
            this.draft = draft;
            this.send = send;
        }

        void release() {
            if (released.compareAndSet(false, true)) {
                send.accept(this);
            }
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
            // Danger: a time taken outside could be older than a flush that is in the queue before it.
            synchronized (lock) {
                if (!endRecorded) {
                    endRecorded = true;
                    double at = clock.nowMillis();
                    finalEntry = Spool.finalEntry(draft, at, answered).withPeriod(settings.calendar());
                    Spool to = spool;
                    if (tracker != null && to != null) {
                        to.recordEnd(draft.requestNumber(), at, answered);
                    }
                    ended.add(this);
                }
            }
        }
    }

    /** All that was answered before then is in the queue before this. */
    private record FlushMarker(double settledUntil) {}

    private final String dispatcher;
    private final Clock clock;
    private final FaultInjection faults;
    private volatile LedgerSettings settings;
    private final Object lock = new Object();
    /** Answers that wait until their intents are forced. */
    private final LinkedBlockingQueue<PendingEntry> awaitingSync = new LinkedBlockingQueue<>();

    private final ConcurrentLinkedQueue<Object> ended = new ConcurrentLinkedQueue<>();
    private volatile Spool spool;
    private final AtomicLong requestCount = new AtomicLong();
    /** Jobs held in memory: from the decision to the commit of the entry. */
    private final AtomicInteger pendingCount = new AtomicInteger();

    private final Thread syncThread;
    private final Thread storeThread;
    private final List<Spool> spools = new java.util.concurrent.CopyOnWriteArrayList<>();
    /** Open as soon as intents can be written, or it is known that they cannot. */
    private final CountDownLatch ready = new CountDownLatch(1);

    private volatile boolean stopping;
    private volatile boolean syncThreadDone;
    private volatile ChainOrigin currentOrigin = NO_ORIGIN;
    private volatile long committedNumber;
    // Figures
    private final AtomicLong committedCount = new AtomicLong();
    private final AtomicLong doubtCount = new AtomicLong();
    private final AtomicLong missedCount = new AtomicLong();
    private final AtomicLong unsyncedCount = new AtomicLong();
    private volatile int consecutiveFailures;
    private volatile Map<String, Long> exportLags = Map.of();
    // A gap that is not entered yet; guarded by order
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
        syncThread = new Thread(this::spool, "ledger-spool");
        storeThread = new Thread(this::runStoreLoop, "ledger-store");
        syncThread.setDaemon(true);
        storeThread.setDaemon(true);
    }

    /** Starts its threads; the store is opened by them, and tried again where that fails. */
    public void start() {
        storeThread.start();
        syncThread.start();
    }

    /**
     * Waits until intents can be written, or the disk has said that they cannot. Danger: jobs answered before
     * that would be in memory alone, and a kill would lose them.
     */
    public void awaitReady() {
        try {
            if (!ready.await(OPEN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                LOG.warning(
                        "opens-slowly",
                        "the ledger is not open after " + OPEN_TIMEOUT_SECONDS
                                + " s; jobs are served, and wait in memory");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes over what may change while it runs. */
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

    /** What exports have not delivered yet, told by who exports. */
    void exportLags(Map<String, Long> undelivered) {
        exportLags = Map.copyOf(undelivered);
    }

    /**
     * Paces this object's own work, in milliseconds: also while the clock that dates entries stands still.
     */
    static double monotonicMillis() {
        return System.nanoTime() / 1e6;
    }

    // The core's side

    @Override
    public Runnable record(FinishedRequest finished, Consumer<DeliveryCallback> send) {
        if (pendingCount.get() >= settings.maxPending()) {
            synchronized (lock) {
                gapFrom = gapCount == 0 ? finished.decidedAtMillis() : gapFrom;
                gapTo = finished.decidedAtMillis();
                gapCount++;
            }
            missedCount.incrementAndGet();
            send.accept(DeliveryCallback.NONE);
            return null;
        }
        pendingCount.incrementAndGet();
        PendingEntry item = new PendingEntry(draftEntry(finished), send);
        Spool currentSpool = spool;
        item.tracker = currentSpool == null ? null : currentSpool.recordIntent(item.draft);
        if (finished.ending() == Ending.LEFT) {
            send.accept(DeliveryCallback.NONE);
            item.released.set(true);
            item.onAbandoned();
            return null;
        }
        if (!settings.sync() || item.tracker == null) {
            unsyncedCount.addAndGet(item.tracker == null ? 1 : 0);
            item.release();
            return null;
        }
        awaitingSync.add(item);
        return () -> {
            if (!item.released.get()) {
                unsyncedCount.incrementAndGet();
                item.release();
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

    // The spool's thread: makes its files, forces them, and lets answers go that wait for that

    private void spool() {
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
                                "the spool cannot be written, and answers do not wait for " + "it: " + e);
                    }
                }
                if (!synced) {
                    unsyncedCount.addAndGet(
                            group.stream().filter(i -> !i.released.get()).count());
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
            reportFailure("spool-failed", "the spool cannot be written at the end: " + e);
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
            // Danger: a life's files go only when its jobs are entered, be it under the next life.
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
            // The first makes the file that is written to where there is none, the second the next one.
            active.prepareSegment(committedNumber);
            active.prepareSegment(committedNumber);
            spool = active;
            ready.countDown();
        }
    }

    private void releaseAnswer(PendingEntry item) {
        try {
            item.release();
        } catch (RuntimeException e) {
            LOG.error("release-failed", "an answer could not be let go", e, "request", item.draft.requestId());
        }
    }

    // The store's thread

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
                    reportFailure("store-failed", "entries wait in memory: " + e.getMessage());
                    store = handleStoreFailure(store, e);
                    if (stopAfterCommit) {
                        LOG.warning(
                                "not-entered",
                                items.size() + " jobs are not entered yet; the next start "
                                        + "recovers those that the spool holds",
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
                            "recovered " + report.answered() + " answered jobs, "
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

    /** Danger: a damaged file is evidence; it is put aside, and a new life begins in a new one. */
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
                    "the store is damaged; it was put aside as "
                            + Store.moveDamagedAside(settings.store(), clock.nowMillis()) + " and a new one begins");
            currentOrigin = NO_ORIGIN;
            committedNumber = 0;
        } catch (IOException moved) {
            reportFailure("store-failed", "the damaged store cannot be put aside: " + moved);
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

    /** Takes what has ended since the last commit; the time up to which all is gathered. */
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
                    gapRequests + " jobs could not be entered one by one; a gap entry stands for them",
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

    /** Whether a command that closes a period waits for this life. */
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
        Map<String, Number> figures = new LinkedHashMap<>();
        figures.put("ledger.entries", committedCount.get());
        figures.put("ledger.in_doubt", doubtCount.get());
        figures.put("ledger.queue", pendingCount.get());
        figures.put("ledger.gap", missedCount.get());
        figures.put("ledger.unsynced", unsyncedCount.get());
        figures.put("ledger.trouble", consecutiveFailures > 0 ? 1 : 0);
        exportLags.forEach((name, lag) -> figures.put("ledger.export." + name + ".lag", lag));
        return figures;
    }

    /** The origin that it writes now, or null while the store is not open. */
    ChainOrigin origin() {
        return currentOrigin == NO_ORIGIN ? null : currentOrigin;
    }

    /** Enters what has ended and closes the store; jobs still out stay in the spool, for the next start. */
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
