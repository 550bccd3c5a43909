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
    private static final int MAX_KEY_BYTES = 4096;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;
    private static final double POLL_MILLIS = 100;

    private final String dispatcher;
    private final Ledger ledger;
    private final Clock clock;
    private final long seed;
    private final List<Thread> threads = new ArrayList<>();
    private final Map<String, Long> lags = new ConcurrentHashMap<>();
    private volatile LedgerSettings settings;
    private volatile boolean stopping;
    private PeerServer peerServer;
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
    public Ledger ledger() {
        return ledger;
    }

    /** The port at which peers call; 0 where they do not. */
    public int port() {
        return port;
    }

    /** Starts all of it; IOException where the key cannot be read or the listener not be opened. */
    public void start() throws IOException {
        checkOwner();
        MessageAuthenticator authenticator =
                settings.peers() == null ? null : readKey(settings.peers().keyFile());
        ledger.start();
        ledger.awaitReady();
        for (ExportSettings export : settings.exports()) {
            startThread("ledger-export-" + export.name(), () -> runExport(export.name()));
        }
        if (authenticator != null) {
            peerServer = new PeerServer(settings.peers(), settings.store(), authenticator, clock);
            try {
                port = peerServer
                        .listen()
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (Exception e) {
                throw new IOException("the ledger's peers cannot be listened for: " + e.getMessage(), e);
            }
            vertx = createClientVertx();
            startThread("ledger-peers", () -> runReconciliation(authenticator));
        }
    }

    /** Danger: two dispatchers that took one folder for theirs would bill each other's jobs. */
    private void checkOwner() throws IOException {
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
    static Vertx createClientVertx() {
        return Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
    }

    /** Reads the shared key. */
    static MessageAuthenticator readKey(Path file) throws IOException {
        if (Files.size(file) > MAX_KEY_BYTES) {
            throw new IOException("the key " + file + " is larger than " + MAX_KEY_BYTES + " bytes");
        }
        try {
            return new MessageAuthenticator(Files.readAllBytes(file));
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Takes over what may change while it runs. */
    public void reload(LedgerSettings next) {
        settings = next;
        ledger.reload(next);
    }

    private interface InterruptibleTask {
        void run() throws InterruptedException;
    }

    private void startThread(String name, InterruptibleTask loop) {
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
    private boolean sleepUnlessStopping(double millis) throws InterruptedException {
        double deadline = Ledger.monotonicMillis() + millis;
        while (!stopping && Ledger.monotonicMillis() < deadline) {
            TimeUnit.MILLISECONDS.sleep((long) Math.max(1, Math.min(POLL_MILLIS, deadline - Ledger.monotonicMillis())));
        }
        return !stopping;
    }

    private ExportSettings exportSettings(String name) {
        return settings.exports().stream()
                .filter(e -> e.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    private void runExport(String name) throws InterruptedException {
        RandomGenerator random = new java.util.SplittableRandom(seed ^ name.hashCode());
        String lastFault = null;
        // An export that the settings name no longer goes on until the restart that this change needs.
        ExportSettings current = exportSettings(name);
        ExportTarget target = Exporter.target(current, FaultInjection.NONE);
        while (sleepUnlessStopping(current.intervalMillis())) {
            ExportSettings next = exportSettings(name) == null ? current : exportSettings(name);
            if (next.timeoutMillis() != current.timeoutMillis()) {
                target = Exporter.target(next, FaultInjection.NONE);
            }
            current = next;
            if (ledger.origin() == null) {
                continue;
            }
            try (Store store = Store.open(settings.store())) {
                Exporter exporter = new Exporter(
                        store, current, target, random, millis -> sleepUnlessStopping(millis), FaultInjection.NONE);
                Exporter.Report report = exporter.runRound();
                lags.put(name, store.exportLag(name));
                ledger.exportLags(lags);
                if (report == Exporter.BUSY) {
                    continue;
                }
                if (report.fault() != null) {
                    LOG.warning("export-failed", "export " + name + ": " + report.fault(), "export", name);
                } else if (lastFault != null) {
                    LOG.info("export-works", "export " + name + " works again", "export", name);
                }
                lastFault = report.fault();
            } catch (StoreException e) {
                lastFault = e.getMessage();
                LOG.warning("export-failed", "export " + name + ": " + lastFault, "export", name);
            }
        }
    }

    private void runReconciliation(MessageAuthenticator authenticator) throws InterruptedException {
        Map<InetSocketAddress, PeerClient> clients = new HashMap<>();
        Map<InetSocketAddress, Backoff> backoffs = new HashMap<>();
        Map<InetSocketAddress, Double> nextRoundAt = new HashMap<>();
        while (sleepUnlessStopping(POLL_MILLIS)) {
            PeerSettings peerSettings = settings.peers();
            if (peerSettings == null || ledger.origin() == null) {
                continue;
            }
            for (InetSocketAddress address : peerSettings.peers()) {
                if (Ledger.monotonicMillis() < nextRoundAt.getOrDefault(address, 0.0)) {
                    continue;
                }
                PeerClient client = clients.computeIfAbsent(
                        address, a -> new PeerClient(vertx, a, authenticator, clock, peerSettings.timeoutMillis()));
                Backoff backoff = backoffs.computeIfAbsent(
                        address,
                        a -> new Backoff(
                                peerSettings.intervalMillis(),
                                10 * peerSettings.intervalMillis(),
                                new java.util.SplittableRandom(seed ^ a.hashCode())));
                nextRoundAt.put(
                        address,
                        Ledger.monotonicMillis()
                                + (reconcile(address, client, peerSettings)
                                        ? resetPause(backoff, peerSettings)
                                        : backoff.nextPauseMillis()));
            }
        }
        clients.values().forEach(PeerClient::close);
    }

    private static double resetPause(Backoff backoff, PeerSettings peerSettings) {
        backoff.reset();
        return peerSettings.intervalMillis();
    }

    private boolean reconcile(InetSocketAddress address, PeerClient client, PeerSettings peerSettings)
            throws InterruptedException {
        try (Store store = Store.open(settings.store())) {
            Reconciler.Report report = new Reconciler(store, client, peerSettings.chunkEntries()).runRound();
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
                thread.join(TimeUnit.SECONDS.toMillis(SHUTDOWN_TIMEOUT_SECONDS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (peerServer != null) {
            peerServer.close();
        }
        if (vertx != null) {
            vertx.close();
        }
        ledger.close();
    }
}
