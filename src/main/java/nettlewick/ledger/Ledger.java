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
    private static final double AGAIN = 1000;

    private static final int GROUP_MOST = 4096;
    private static final int COMMIT_MOST = 20_000;
    private static final long MARK_LOOK = 200;
    private static final long CLOSE_SECONDS = 10;
    private static final long OPEN_SECONDS = 15;
    private static final ChainOrigin NOBODY = new ChainOrigin("", 0);

    /** A job from its end's decision to its entry. */
    private final class Item implements DeliveryCallback {
        final Entry draft;
        final Consumer<DeliveryCallback> send;
        final AtomicBoolean gone = new AtomicBoolean();
        Spool.Place place;
        boolean over;
        volatile Entry entry;

        Item(Entry draft, Consumer<DeliveryCallback> send) {
            this.draft = draft;
            this.send = send;
        }

        void release() {
            if (gone.compareAndSet(false, true)) {
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
            synchronized (order) {
                if (!over) {
                    over = true;
                    double at = clock.nowMillis();
                    entry = Spool.ended(draft, at, answered).in(settings.terms());
                    Spool to = spool;
                    if (place != null && to != null) {
                        to.ended(draft.job(), at, answered);
                    }
                    ended.add(this);
                }
            }
        }
    }

    /** All that was answered before then is in the queue before this. */
    private record Flush(double until) {}

    private final String dispatcher;
    private final Clock clock;
    private final FaultInjection faults;
    private volatile LedgerSettings settings;
    private final Object order = new Object();
    /** Answers that wait until their intents are forced. */
    private final LinkedBlockingQueue<Item> waiting = new LinkedBlockingQueue<>();

    private final ConcurrentLinkedQueue<Object> ended = new ConcurrentLinkedQueue<>();
    private volatile Spool spool;
    private final AtomicLong jobs = new AtomicLong();
    /** Jobs held in memory: from the decision to the commit of the entry. */
    private final AtomicInteger held = new AtomicInteger();

    private final Thread spooler;
    private final Thread storer;
    private final List<Spool> spools = new java.util.concurrent.CopyOnWriteArrayList<>();
    /** Open as soon as intents can be written, or it is known that they cannot. */
    private final CountDownLatch ready = new CountDownLatch(1);

    private volatile boolean stopping;
    private volatile boolean spooled;
    private volatile ChainOrigin own = NOBODY;
    private volatile long head;
    // Figures
    private final AtomicLong entered = new AtomicLong();
    private final AtomicLong doubts = new AtomicLong();
    private final AtomicLong missed = new AtomicLong();
    private final AtomicLong overdue = new AtomicLong();
    private volatile int troubles;
    private volatile Map<String, Long> lags = Map.of();
    // A gap that is not entered yet; guarded by order
    private double gapFrom;
    private double gapTo;
    private long gapJobs;

    public Ledger(String dispatcher, LedgerSettings settings, Clock clock) {
        this(dispatcher, settings, clock, FaultInjection.NONE);
    }

    Ledger(String dispatcher, LedgerSettings settings, Clock clock, FaultInjection faults) {
        this.dispatcher = dispatcher;
        this.settings = settings;
        this.clock = clock;
        this.faults = faults;
        spooler = new Thread(this::spool, "ledger-spool");
        storer = new Thread(this::store, "ledger-store");
        spooler.setDaemon(true);
        storer.setDaemon(true);
    }

    /** Starts its threads; the store is opened by them, and tried again where that fails. */
    public void start() {
        storer.start();
        spooler.start();
    }

    /**
     * Waits until intents can be written, or the disk has said that they cannot. Danger: jobs answered before
     * that would be in memory alone, and a kill would lose them.
     */
    public void await() {
        try {
            if (!ready.await(OPEN_SECONDS, TimeUnit.SECONDS)) {
                LOG.warning(
                        "opens-slowly",
                        "the ledger is not open after " + OPEN_SECONDS + " s; jobs are served, and wait in memory");
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
        return settings.patience();
    }

    /** What exports have not delivered yet, told by who exports. */
    void lags(Map<String, Long> entries) {
        lags = Map.copyOf(entries);
    }

    /**
     * Paces this object's own work, in milliseconds: also while the clock that dates entries stands still.
     */
    static double pace() {
        return System.nanoTime() / 1e6;
    }

    // The core's side

    @Override
    public Runnable record(FinishedRequest job, Consumer<DeliveryCallback> send) {
        if (held.get() >= settings.queue()) {
            synchronized (order) {
                gapFrom = gapJobs == 0 ? job.decidedAtMillis() : gapFrom;
                gapTo = job.decidedAtMillis();
                gapJobs++;
            }
            missed.incrementAndGet();
            send.accept(DeliveryCallback.NONE);
            return null;
        }
        held.incrementAndGet();
        Item item = new Item(draft(job), send);
        Spool to = spool;
        item.place = to == null ? null : to.intent(item.draft);
        if (job.ending() == Ending.LEFT) {
            send.accept(DeliveryCallback.NONE);
            item.gone.set(true);
            item.onAbandoned();
            return null;
        }
        if (!settings.sync() || item.place == null) {
            overdue.addAndGet(item.place == null ? 1 : 0);
            item.release();
            return null;
        }
        waiting.add(item);
        return () -> {
            if (!item.gone.get()) {
                overdue.incrementAndGet();
                item.release();
            }
        };
    }

    private Entry draft(FinishedRequest job) {
        Request r = job.request();
        String key = r.payload() instanceof Request.IdempotencyKeyed keyed ? keyed.idempotencyKey() : null;
        return new Entry(
                new EntryRef(NOBODY, 0),
                Entry.Kind.JOB,
                job.decidedAtMillis(),
                Entry.fit(r.tenant()),
                Entry.fit(r.requestClass()),
                Entry.fit(r.id()),
                key == null ? null : Entry.hash(key),
                job.ending(),
                job.workSlotMicros(),
                job.isEstimate(),
                job.extraWorkSlotMicros(),
                job.attemptCount(),
                jobs.incrementAndGet(),
                null,
                null,
                null);
    }

    // The spool's thread: makes its files, forces them, and lets answers go that wait for that

    private void spool() {
        double again = 0;
        List<Item> group = new ArrayList<>();
        try {
            while (!stopping || !waiting.isEmpty()) {
                group.clear();
                Item first = waiting.poll((long) Math.min(settings.batch(), MARK_LOOK), TimeUnit.MILLISECONDS);
                if (first != null) {
                    group.add(first);
                    waiting.drainTo(group, GROUP_MOST);
                }
                boolean forced = false;
                if (pace() >= again) {
                    try {
                        keep();
                        forced = true;
                    } catch (IOException | RuntimeException e) {
                        again = pace() + AGAIN;
                        trouble(
                                "spool-failed",
                                "the spool cannot be written, and answers do not wait for " + "it: " + e);
                    }
                }
                if (!forced) {
                    overdue.addAndGet(group.stream().filter(i -> !i.gone.get()).count());
                }
                group.forEach(this::release);
            }
            Spool last = spool;
            if (last != null) {
                last.force();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            trouble("spool-failed", "the spool cannot be written at the end: " + e);
        } finally {
            spooled = true;
        }
    }

    private void keep() throws IOException {
        ChainOrigin mine = own;
        Spool now = spool;
        if (now != null) {
            now.force();
        }
        if (mine != NOBODY && (now == null || !now.origin().equals(mine))) {
            // Danger: a life's files go only when its jobs are entered, be it under the next life.
            now = spools.stream()
                    .filter(s -> s.origin().equals(mine))
                    .findFirst()
                    .orElse(null);
            if (now == null) {
                now = new Spool(settings.store(), mine, faults);
                spools.add(now);
            }
        }
        if (now != null) {
            // The first makes the file that is written to where there is none, the second the next one.
            now.prepare(head);
            now.prepare(head);
            spool = now;
            ready.countDown();
        }
    }

    private void release(Item item) {
        try {
            item.release();
        } catch (RuntimeException e) {
            LOG.error("release-failed", "an answer could not be let go", e, "request", item.draft.request());
        }
    }

    // The store's thread

    private void store() {
        Store store = null;
        List<Item> items = new ArrayList<>();
        double markLook = 0;
        double flushTo = 0;
        try {
            while (true) {
                boolean last = stopping && spooled && ended.isEmpty();
                try {
                    if (store == null) {
                        store = openStore();
                    }
                    flushTo = Math.max(flushTo, gather(items, last));
                    point("gathered");
                    commit(store, items);
                    if (flushTo > 0) {
                        store.settled(own, flushTo);
                        flushTo = 0;
                    }
                    if (pace() - markLook >= MARK_LOOK) {
                        markLook = pace();
                        look(store);
                    }
                    troubles = 0;
                    if (last && items.isEmpty()) {
                        return;
                    }
                } catch (StoreException e) {
                    trouble("store-failed", "entries wait in memory: " + e.getMessage());
                    store = afterFailure(store, e);
                    if (last) {
                        LOG.warning(
                                "not-entered",
                                items.size() + " jobs are not entered yet; the next start "
                                        + "recovers those that the spool holds",
                                "jobs",
                                items.size());
                        return;
                    }
                    TimeUnit.MILLISECONDS.sleep((long) AGAIN);
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
            if (own == NOBODY) {
                Recovery.Report report = Recovery.run(store, clock.nowMillis(), settings.terms());
                doubts.addAndGet(report.doubts());
                if (!report.idle()) {
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
                own = store.begin(clock.nowMillis());
            }
            return store;
        } catch (StoreException e) {
            store.close();
            throw e;
        }
    }

    /** Danger: a damaged file is evidence; it is put aside, and a new life begins in a new one. */
    private Store afterFailure(Store store, StoreException e) {
        if (!e.isDamaged()) {
            return store;
        }
        if (store != null) {
            store.close();
        }
        try {
            LOG.warning(
                    "store-put-aside",
                    "the store is damaged; it was put aside as " + Store.putAside(settings.store(), clock.nowMillis())
                            + " and a new one begins");
            own = NOBODY;
            head = 0;
        } catch (IOException moved) {
            trouble("store-failed", "the damaged store cannot be put aside: " + moved);
        }
        return null;
    }

    private void point(String name) throws StoreException {
        try {
            faults.at(name);
        } catch (IOException e) {
            throw new StoreException(e.getMessage(), e, false);
        }
    }

    /** Takes what has ended since the last commit; the time up to which all is gathered. */
    private double gather(List<Item> items, boolean last) throws InterruptedException {
        double flush = 0;
        if (!last && !stopping && items.isEmpty()) {
            TimeUnit.MICROSECONDS.sleep((long) (settings.commit() * 1000));
        }
        while (items.size() < COMMIT_MOST) {
            Object next = ended.poll();
            if (next == null) {
                return flush;
            }
            if (next instanceof Item item) {
                items.add(item);
            } else if (next instanceof Flush f) {
                flush = f.until();
            }
        }
        return flush;
    }

    private void commit(Store store, List<Item> items) throws StoreException {
        List<Entry> drafts = new ArrayList<>(items.size() + 1);
        items.forEach(i -> drafts.add(i.entry));
        long gap;
        synchronized (order) {
            gap = gapJobs;
            if (gap > 0) {
                drafts.add(Entry.gap(new EntryRef(own, 0), gapFrom, gapTo, gap));
            }
        }
        if (drafts.isEmpty()) {
            return;
        }
        head = store.append(own, drafts);
        synchronized (order) {
            gapJobs -= gap;
            gapFrom = gapTo;
        }
        if (gap > 0) {
            LOG.warning("gap", gap + " jobs could not be entered one by one; a gap entry stands for them", "jobs", gap);
        }
        entered.addAndGet(items.size());
        held.addAndGet(-items.size());
        Map<Spool.Place, Integer> places = new java.util.IdentityHashMap<>();
        items.stream().filter(i -> i.place != null).forEach(i -> places.merge(i.place, 1, Integer::sum));
        places.forEach(Spool.Place::entered);
        items.clear();
    }

    /** Whether a command that closes a period waits for this life. */
    private void look(Store store) throws StoreException {
        double until = store.marked();
        if (until > 0 && clock.nowMillis() >= until && store.settled(own.life()) < until) {
            synchronized (order) {
                ended.add(new Flush(clock.nowMillis()));
            }
        }
    }

    private void trouble(String event, String message) {
        troubles++;
        ready.countDown();
        LOG.warning(event, message, "held", held.get(), "missed", missed.get());
    }

    @Override
    public Map<String, Number> metrics() {
        Map<String, Number> figures = new LinkedHashMap<>();
        figures.put("ledger.entries", entered.get());
        figures.put("ledger.in_doubt", doubts.get());
        figures.put("ledger.queue", held.get());
        figures.put("ledger.gap", missed.get());
        figures.put("ledger.unsynced", overdue.get());
        figures.put("ledger.trouble", troubles > 0 ? 1 : 0);
        lags.forEach((name, lag) -> figures.put("ledger.export." + name + ".lag", lag));
        return figures;
    }

    /** The origin that it writes now, or null while the store is not open. */
    ChainOrigin origin() {
        return own == NOBODY ? null : own;
    }

    /** Enters what has ended and closes the store; jobs still out stay in the spool, for the next start. */
    @Override
    public void close() {
        stopping = true;
        try {
            spooler.join(TimeUnit.SECONDS.toMillis(CLOSE_SECONDS));
            storer.join(TimeUnit.SECONDS.toMillis(CLOSE_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!spooler.isAlive()) {
            spools.forEach(Spool::close);
        }
    }
}
