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
 * The ledger of a dispatcher process with its background work: a thread for each export, a thread that reconciles with
 * the peers in turn, and the listener for peers. Each of them opens the store on its own, since a {@link Store} belongs
 * to one thread.
 */
public final class LedgerService implements AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("ledger");
    private static final int MAX_KEY_BYTES = 4096;
    private static final long TIMEOUT_SECONDS = 5;
    private static final double POLL_MILLIS = 100;

    private final String dispatcher;
    private final Ledger recorder;
    private final Clock clock;
    private final long seed;
    private final List<Thread> threads = new ArrayList<>();
    private final Map<String, Long> lags = new ConcurrentHashMap<>();
    private volatile LedgerSettings settings;
    private volatile boolean stopping;
    private PeerServer peerServer;
    private Vertx vertx;
    private int port;

    /** @param seed seed of the jitter of the pauses between attempts */
    public LedgerService(String dispatcher, LedgerSettings settings, Clock clock, long seed) {
        this.dispatcher = dispatcher;
        this.settings = settings;
        this.clock = clock;
        this.seed = seed;
        recorder = new Ledger(dispatcher, settings, clock);
    }

    /** The usage recorder for the core. */
    public Ledger recorder() {
        return recorder;
    }

    /** The port on which peers are served; 0 if there is no listener. */
    public int port() {
        return port;
    }

    /**
     * Starts all threads and the listener.
     *
     * @throws IOException if the store belongs to another dispatcher, the key cannot be read, or the listener cannot be
     * opened
     */
    public void start() throws IOException {
        checkOwner();
        MessageAuthenticator authenticator =
                settings.peers() == null ? null : readKey(settings.peers().keyFile());
        recorder.start();
        recorder.awaitReady();
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
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (Exception e) {
                throw new IOException("cannot listen for ledger peers: " + e.getMessage(), e);
            }
            vertx = createClientVertx();
            startThread("ledger-peers", () -> runReconciliation(authenticator));
        }
    }

    /**
     * Fails if the store belongs to another dispatcher: two dispatchers with one store would bill requests of each
     * other.
     */
    private void checkOwner() throws IOException {
        try (Store store = Store.read(settings.store())) {
            if (store.dispatcher() != null && !store.dispatcher().equals(dispatcher)) {
                throw new IOException(
                        settings.store() + " is the ledger of " + store.dispatcher() + ", not of " + dispatcher);
            }
        } catch (StoreException e) {
            // The store does not exist yet or cannot be read; the ledger reports this when it opens the store.
        }
    }

    /** Creates the Vert.x instance that the clients for peers run on. */
    static Vertx createClientVertx() {
        return Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
    }

    /** Reads the key that is shared with the peers. */
    static MessageAuthenticator readKey(Path file) throws IOException {
        if (Files.size(file) > MAX_KEY_BYTES) {
            throw new IOException("key file " + file + " is larger than " + MAX_KEY_BYTES + " bytes");
        }
        try {
            return new MessageAuthenticator(Files.readAllBytes(file));
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Applies the settings that may change at run time. */
    public void reload(LedgerSettings next) {
        settings = next;
        recorder.reload(next);
    }

    private interface InterruptibleTask {
        void run() throws InterruptedException;
    }

    private void startThread(String name, InterruptibleTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    /** Sleeps; returns false if the service is stopping. */
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
        // An export that was removed from the settings continues with its last settings until the restart that this
        // change requires.
        ExportSettings current = exportSettings(name);
        ExportTarget target = Exporter.target(current, FaultInjection.NONE);
        while (sleepUnlessStopping(current.intervalMillis())) {
            ExportSettings next = exportSettings(name) == null ? current : exportSettings(name);
            if (next.timeoutMillis() != current.timeoutMillis()) {
                target = Exporter.target(next, FaultInjection.NONE);
            }
            current = next;
            if (recorder.origin() == null) {
                continue;
            }
            try (Store store = Store.open(settings.store())) {
                Exporter exporter = new Exporter(
                        store, current, target, random, millis -> sleepUnlessStopping(millis), FaultInjection.NONE);
                Exporter.Report report = exporter.runRound();
                lags.put(name, store.exportLag(name));
                recorder.exportLags(lags);
                if (report == Exporter.BUSY) {
                    continue;
                }
                if (report.fault() != null) {
                    LOG.warning("export-failed", "export " + name + ": " + report.fault(), "export", name);
                } else if (lastFault != null) {
                    LOG.info("export-works", "export " + name + " succeeds again", "export", name);
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
            if (peerSettings == null || recorder.origin() == null) {
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
            report.forks().forEach(line -> LOG.warning("fork", "quarantined a forked chain: " + line, "peer", address));
            report.faults()
                    .forEach(line -> LOG.warning("peer-fault", "peer " + address + ": " + line, "peer", address));
            return report.faults().isEmpty();
        } catch (IOException | StoreException e) {
            LOG.warning(
                    "peer-failed", "peer " + address + ": reconciliation failed: " + e.getMessage(), "peer", address);
            return false;
        }
    }

    @Override
    public void close() {
        stopping = true;
        try {
            for (Thread thread : threads) {
                thread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
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
        recorder.close();
    }
}
