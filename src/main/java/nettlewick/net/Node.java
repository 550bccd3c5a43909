package nettlewick.net;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import nettlewick.admin.AdminFront;
import nettlewick.admin.Operations;
import nettlewick.core.Clock;
import nettlewick.core.Core;
import nettlewick.core.Figures;
import nettlewick.decision.Dispatcher.JobClass;

/** One real dispatcher: puts core, subchannels, resolver watch, peers and the platform's front together. */
public final class Node {
    private static final Logger LOG = Logger.getLogger("node");
    /** New connections keep coming for this long after SIGTERM. */
    private static final long ACCEPT_ON = 700;
    private static final long SHUT_SPARE = 500;
    /**
     * SIGKILL comes no sooner than this after the longest deadline, which counts as LONGEST at most. Clients
     * go on using the connections they have, so these are served for nearly as long: one whose connection
     * is closed finds nobody else here until the restart.
     */
    private static final long KILL = 700;
    private static final long LONGEST = 3000;
    /** Before the kill: until when requests are taken, and when what is still open is ended. */
    private static final long LAST_TAKEN = 600;
    private static final long LAST_ANSWERED = 250;
    private static final long LOOK = 50;
    /** One descriptor in so many is for clients. */
    static final int CLIENTS_PART = 3;
    /** Connections accepted beyond those a front keeps: the front chooses which of them stays. */
    private static final int SPARE = 8;
    /** Descriptors of the operators' front: its callers, its listener, its two selectors. */
    static final int ADMIN = AdminFront.CALLERS_MOST + 8;

    private volatile Config config;
    private final Clock clock;
    private final Vertx vertx;
    private final int perFront;
    private final AcceptGate gate;
    private final Context loop;
    private Core core;
    private Subchannels subchannels;
    private ResolverWatch watch;
    private final List<Front.Maker> makers;
    private final List<Front> fronts = new ArrayList<>();
    private final ServiceState state = new ServiceState();
    private AdminFront admin;
    private volatile int adminPort;
    private volatile boolean holdsList;
    private volatile boolean warm;
    private volatile List<Integer> ports = List.of();

    public Node(Config config, Clock clock, Front.Maker... makers) {
        this.makers = List.of(makers);
        this.config = config;
        this.clock = clock;
        // The machine has one core and no disk: one event loop, no cache of files, no DNS.
        System.setProperty("vertx.disableDnsResolver", "true");
        // Danger: Netty's allocator brings up the flight recorder at its first buffer: a fifth of a second of
        // CPU at each start, twice that on half a core, while clients wait.
        System.setProperty("io.netty.jfr.enabled", "false");
        int clients = config.sockets() / CLIENTS_PART;
        gate = new AcceptGate(clients);
        perFront = Math.max(1, clients / Math.max(1, makers.length) - SPARE);
        vertx = Vertx.builder().with(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1).setFileSystemOptions(new FileSystemOptions()
                        .setFileCachingEnabled(false).setClassPathResolvingEnabled(false)))
                .withTransport(gate).build();
        loop = vertx.getOrCreateContext();
    }

    /** Starts all parts; done once the sockets listen. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        loop.runOnContext(v -> {
            PeerSocket peers = new PeerSocket(vertx, config);
            subchannels = new Subchannels(vertx, loop, config, clock, peers);
            core = new Core(clock, config.settings(), config.seed(), config.maxOpen(), subchannels);
            subchannels.bind(core);
            Front.Base base = new Front.Base(vertx, loop, config, clock, core, () -> holdsList && warm,
                    state, perFront);
            makers.forEach(maker -> fronts.add(maker.make(base)));
            Thread thread = new Thread(core, "core");
            thread.setDaemon(true);
            thread.start();
            watch = new ResolverWatch(vertx, config.discovery(), clock, news -> {
                subchannels.update(news);
                holdsList = true;
            });
            watch.start(config.known());
            Future.all(fronts.stream().map(Front::listen).toList())
                    .onSuccess(all -> ports = all.list()).compose(all -> peers.listen(core::heard))
                    .compose(all -> warmUp()).compose(v2 -> listenAdmin())
                    .onSuccess(v2 -> state.serve()).onComplete(started);
        });
        return started.future().onSuccess(v -> LOG.info("dispatcher " + config.name() + " listens on "
                + config.listen().hostAddress() + ":" + ports.get(0)));
    }

    private Future<Void> listenAdmin() {
        if (config.adminAddr() == null) {
            return Future.succeededFuture();
        }
        admin = new AdminFront(config.adminAddr(), operations());
        return admin.listen().onSuccess(port -> adminPort = port).mapEmpty();
    }

    private Operations operations() {
        return new Operations() {
            @Override
            public boolean ready() {
                return state.takesClients() && holdsList && warm;
            }

            @Override
            public Figures.Snapshot figures() {
                return core.figures().snapshot();
            }

            @Override
            public boolean drain() {
                boolean drains = state.drain(clock.now());
                LOG.info(drains ? "drained by hand" : "drain refused: this process ends");
                return drains;
            }

            @Override
            public boolean resume() {
                boolean resumes = state.resume();
                LOG.info(resumes ? "resumed by hand" : "resume refused: this process ends");
                return resumes;
            }
        };
    }

    private Future<Void> warmUp() {
        if (ports.get(0) <= 0) {
            warm = true;
            return Future.succeededFuture();
        }
        SocketAddress own = SocketAddress.inetSocketAddress(ports.get(0), config.listen().hostAddress());
        WarmUp.module(config.settings());
        return WarmUp.sockets(subchannels.client(), own).onComplete(v -> warm = true);
    }

    /** The ports held, in the order of the fronts. */
    public List<Integer> ports() {
        return ports;
    }

    /** The port that operators call, or 0. */
    int adminPort() {
        return adminPort;
    }

    /** Where the watch is on now. */
    SocketAddress discovery() {
        return config.discovery();
    }

    /** Whether a list of sim runners is held. */
    boolean holdsList() {
        return holdsList;
    }

    /** A planned end: goes on accepting for a while, then answers all that was taken. Blocks until then. */
    public void shutDown() {
        LOG.info("shutting down");
        CountDownLatch done = new CountDownLatch(1);
        double began = clock.now();
        long longest = config.settings().classes().stream().mapToLong(JobClass::deadline).max().orElse(0)
                / 1_000_000;
        long kill = Math.min(longest, LONGEST) + KILL;
        loop.runOnContext(v -> {
            state.end();
            vertx.setTimer(ACCEPT_ON, id -> gate.close());
            vertx.setTimer(ACCEPT_ON, id -> shut(began + kill - LAST_TAKEN, longest + SHUT_SPARE, done));
            vertx.setTimer(Math.max(ACCEPT_ON, kill - LAST_ANSWERED), id -> core.endSince(began + ACCEPT_ON));
        });
        try {
            done.await(kill + longest + SHUT_SPARE, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.log(Level.INFO, "shut down");
    }

    /** Ends the fronts at that time, or as soon as nobody is connected. */
    private void shut(double at, long longest, CountDownLatch done) {
        if (clock.now() < at && fronts.stream().anyMatch(Front::connected)) {
            vertx.setTimer(LOOK, id -> shut(at, longest, done));
        } else {
            state.shut();
            Future.join(fronts.stream().map(f -> f.shut(longest)).toList()).onComplete(r -> done.countDown());
        }
    }

    /** Takes a configuration that was read anew over, as far as that can be done while serving. */
    public void reload(Config next) {
        loop.runOnContext(v -> {
            List<String> stay = config.needRestart(next);
            config = config.changed(next);
            watch.move(config.discovery());
            subchannels.reload(config);
            core.reload(config.maxOpen());
            LOG.info("configuration reread, discovery at " + config.discovery().hostAddress() + ":"
                    + config.discovery().port() + (stay.isEmpty() ? "" : "; only a restart changes " + stay));
        });
    }

    /** Ends at once, whatever is still open. */
    public Future<Void> close() {
        Promise<Void> stopped = Promise.promise();
        loop.runOnContext(v -> {
            watch.stop();
            core.stop();
            stopped.complete();
        });
        return stopped.future().compose(v -> admin == null ? Future.succeededFuture() : admin.close())
                .compose(v -> vertx.close());
    }
}
