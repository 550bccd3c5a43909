package nettlewick.ledger;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import nettlewick.core.Clock;
import nettlewick.log.ComponentLogger;
import nettlewick.sqlite.StoreException;

/**
 * The ledger of a process that serves, with what goes on beside it: a thread for each export, one that asks
 * the
 * peers in turn, and their listener. Each has a store of its own.
 */
public final class LedgerService implements AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("ledger");
    private static final int KEY_MOST = 4096;
    private static final long JOIN_SECONDS = 5;
    private static final double LOOK = 100;

    private final String dispatcher;
    private final Ledger ledger;
    private final Clock clock;
    private final long seed;
    private final List<Thread> threads = new ArrayList<>();
    private final Map<String, Long> lags = new ConcurrentHashMap<>();
    private volatile LedgerSettings settings;
    private volatile boolean stopping;
    private PeerFront front;
    private Vertx vertx;
    private int port;

    /** {@code seed} is for the pauses between tries. */
    public LedgerService(String dispatcher, LedgerSettings settings, Clock clock, long seed) {
        this.dispatcher = dispatcher;
        this.settings = settings;
        this.clock = clock;
        this.seed = seed;
        ledger = new Ledger(dispatcher, settings, clock);
    }

    /** What the core is given. */
    public Ledger books() {
        return ledger;
    }

    /** The port at which peers call; 0 where they do not. */
    public int port() {
        return port;
    }

    /** Starts all of it; IOException where the key cannot be read or the listener not be opened. */
    public void start() throws IOException {
        mine();
        MessageSeal seal =
                settings.peers() == null ? null : seal(settings.peers().key());
        ledger.start();
        ledger.await();
        for (ExportSettings export : settings.exports()) {
            thread("ledger-export-" + export.name(), () -> exports(export.name()));
        }
        if (seal != null) {
            front = new PeerFront(settings.peers(), settings.store(), seal, clock);
            try {
                port = front.listen().toCompletionStage().toCompletableFuture().get(JOIN_SECONDS, TimeUnit.SECONDS);
            } catch (Exception e) {
                throw new IOException("the ledger's peers cannot be listened for: " + e.getMessage(), e);
            }
            vertx = clients();
            thread("ledger-peers", () -> peers(seal));
        }
    }

    /** Danger: two dispatchers that took one folder for theirs would bill each other's jobs. */
    private void mine() throws IOException {
        try (Store store = Store.read(settings.store())) {
            if (store.dispatcher() != null && !store.dispatcher().equals(dispatcher)) {
                throw new IOException(
                        settings.store() + " is the ledger of " + store.dispatcher() + ", not of " + dispatcher);
            }
        } catch (StoreException e) {
            // There is none yet, or it cannot be read: the ledger tells of that when it opens it.
        }
    }

    /** What clients of peers run on. */
    static Vertx clients() {
        return Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
    }

    /** Reads the shared key. */
    static MessageSeal seal(Path file) throws IOException {
        if (Files.size(file) > KEY_MOST) {
            throw new IOException("the key " + file + " is larger than " + KEY_MOST + " bytes");
        }
        try {
            return new MessageSeal(Files.readAllBytes(file));
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Takes over what may change while it runs. */
    public void reload(LedgerSettings next) {
        settings = next;
        ledger.reload(next);
    }

    private interface Loop {
        void run() throws InterruptedException;
    }

    private void thread(String name, Loop loop) {
        Thread thread = new Thread(
                () -> {
                    try {
                        loop.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    /** Waits so long, or until the end; false at the end. */
    private boolean waited(double millis) throws InterruptedException {
        double until = Ledger.pace() + millis;
        while (!stopping && Ledger.pace() < until) {
            TimeUnit.MILLISECONDS.sleep((long) Math.max(1, Math.min(LOOK, until - Ledger.pace())));
        }
        return !stopping;
    }

    private ExportSettings export(String name) {
        return settings.exports().stream()
                .filter(e -> e.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    private void exports(String name) throws InterruptedException {
        RandomGenerator random = new java.util.SplittableRandom(seed ^ name.hashCode());
        String said = null;
        // An export that the settings name no longer goes on until the restart that this change needs.
        ExportSettings now = export(name);
        Target target = Exporter.target(now, FaultInjection.NONE);
        while (waited(now.every())) {
            ExportSettings next = export(name) == null ? now : export(name);
            if (next.timeout() != now.timeout()) {
                target = Exporter.target(next, FaultInjection.NONE);
            }
            now = next;
            if (ledger.origin() == null) {
                continue;
            }
            try (Store store = Store.open(settings.store())) {
                Exporter exporter =
                        new Exporter(store, now, target, random, millis -> waited(millis), FaultInjection.NONE);
                Exporter.Report report = exporter.round();
                lags.put(name, store.lag(name));
                ledger.lags(lags);
                if (report == Exporter.BUSY) {
                    continue;
                }
                if (report.fault() != null) {
                    LOG.warning("export-failed", "export " + name + ": " + report.fault(), "export", name);
                } else if (said != null) {
                    LOG.info("export-works", "export " + name + " works again", "export", name);
                }
                said = report.fault();
            } catch (StoreException e) {
                said = e.getMessage();
                LOG.warning("export-failed", "export " + name + ": " + said, "export", name);
            }
        }
    }

    private void peers(MessageSeal seal) throws InterruptedException {
        Map<InetSocketAddress, PeerClient> clients = new HashMap<>();
        Map<InetSocketAddress, Backoff> pauses = new HashMap<>();
        Map<InetSocketAddress, Double> due = new HashMap<>();
        while (waited(LOOK)) {
            PeerSettings now = settings.peers();
            if (now == null || ledger.origin() == null) {
                continue;
            }
            for (InetSocketAddress address : now.peers()) {
                if (Ledger.pace() < due.getOrDefault(address, 0.0)) {
                    continue;
                }
                PeerClient client =
                        clients.computeIfAbsent(address, a -> new PeerClient(vertx, a, seal, clock, now.timeout()));
                Backoff pause = pauses.computeIfAbsent(
                        address,
                        a -> new Backoff(
                                now.every(), 10 * now.every(), new java.util.SplittableRandom(seed ^ a.hashCode())));
                due.put(address, Ledger.pace() + (ask(address, client, now) ? reset(pause, now) : pause.next()));
            }
        }
        clients.values().forEach(PeerClient::close);
    }

    private static double reset(Backoff pause, PeerSettings now) {
        pause.reset();
        return now.every();
    }

    private boolean ask(InetSocketAddress address, PeerClient client, PeerSettings now) throws InterruptedException {
        try (Store store = Store.open(settings.store())) {
            Reconciler.Report report = new Reconciler(store, client, now.chunk()).round();
            report.forks().forEach(line -> LOG.warning("fork", "quarantined " + line, "peer", address));
            report.faults()
                    .forEach(line -> LOG.warning("peer-fault", "peer " + address + ": " + line, "peer", address));
            return report.faults().isEmpty();
        } catch (IOException | StoreException e) {
            LOG.warning(
                    "peer-failed",
                    "peer " + address + " cannot be reconciled with: " + e.getMessage(),
                    "peer",
                    address);
            return false;
        }
    }

    @Override
    public void close() {
        stopping = true;
        try {
            for (Thread thread : threads) {
                thread.join(TimeUnit.SECONDS.toMillis(JOIN_SECONDS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (front != null) {
            front.close();
        }
        if (vertx != null) {
            vertx.close();
        }
        ledger.close();
    }
}
