package nettlewick.net;

import io.vertx.core.Future;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.log.ComponentLogger;
import nettlewick.net.client.Frontend;

/**
 * Runs the graceful shutdown of a dispatcher. After SIGTERM:
 *
 * <ol>
 * <li>until {@link #ACCEPT_MILLIS} connections are accepted, then those in the kernel's queue, then none;
 * <li>until {@link #LAST_REQUEST_BEFORE_KILL_MILLIS} before SIGKILL, requests on open connections are served as usual;
 * <li>from then on each response is the last of its connection, and idle connections are closed;
 * <li>{@link #LAST_RESPONSE_BEFORE_KILL_MILLIS} before SIGKILL, every request in flight gets its final response and the
 * rest is rejected.
 * </ol>
 *
 * <p>If a successor accepts clients, new connections are left to it from the start.
 */
final class GracefulShutdown {
    private static final ComponentLogger LOG = ComponentLogger.of("node");
    /** How long new connections may keep arriving after SIGTERM. */
    private static final long ACCEPT_MILLIS = 700;

    private static final long CLOSE_MARGIN_MILLIS = 500;
    /**
     * SIGKILL follows no sooner than this after the longest deadline, which counts as at most {@link
     * #MAX_DEADLINE_MILLIS}. Clients keep using their connections, and a client whose connection is closed finds no
     * other server until the restart; so open connections are served for nearly as long.
     */
    private static final long KILL_MARGIN_MILLIS = 700;

    private static final long MAX_DEADLINE_MILLIS = 3000;
    /**
     * How long before SIGKILL the last requests are accepted, and how long before it the last responses are
     * written.
     */
    private static final long LAST_REQUEST_BEFORE_KILL_MILLIS = 600;

    private static final long LAST_RESPONSE_BEFORE_KILL_MILLIS = 250;
    private static final long CONNECTION_CHECK_MILLIS = 50;

    private final DispatcherServer dispatcher;
    private final boolean hasSuccessor;
    private final CountDownLatch done = new CountDownLatch(1);

    /**
     * Creates the shutdown.
     *
     * @param hasSuccessor whether another process accepts clients at this address
     */
    GracefulShutdown(DispatcherServer dispatcher, boolean hasSuccessor) {
        this.dispatcher = dispatcher;
        this.hasSuccessor = hasSuccessor;
    }

    private static long longestDeadlineMillis(SchedulerSettings settings) {
        return settings.classes().stream()
                        .mapToLong(RequestClass::deadlineNanos)
                        .max()
                        .orElse(0)
                / 1_000_000;
    }

    /** The shortest time from SIGTERM to SIGKILL, in milliseconds. */
    static long minKillDelayMillis(SchedulerSettings settings) {
        return Math.min(longestDeadlineMillis(settings), MAX_DEADLINE_MILLIS) + KILL_MARGIN_MILLIS;
    }

    /** Shuts down; blocks until all requests are answered or the longest deadline has passed. */
    void run() {
        LOG.info(
                hasSuccessor ? "hands-over" : "shutting-down",
                hasSuccessor ? "handing over to the successor process" : "shutting down");
        SchedulerSettings settings = dispatcher.settings();
        long longestMillis = longestDeadlineMillis(settings);
        long killMillis = minKillDelayMillis(settings);
        double startedAt = dispatcher.clock().nowMillis();
        dispatcher.eventLoop().runOnContext(v -> begin(startedAt, killMillis, longestMillis + CLOSE_MARGIN_MILLIS));
        try {
            done.await(killMillis + longestMillis + CLOSE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.info("shut-down", "shutdown complete");
    }

    private void begin(double startedAt, long killMillis, long closeTimeoutMillis) {
        if (dispatcher.coordinator() == null) {
            // SIGTERM arrived before the start: nothing is served yet.
            done.countDown();
            return;
        }
        dispatcher.serviceState().beginShutdown(hasSuccessor);
        dispatcher.coordinator().startDraining(startedAt + killMillis);
        if (hasSuccessor) {
            dispatcher.connectionLimiter().closeOnceQueueIsEmpty();
            dispatcher.peerSocket().close();
        }
        // A connection in the kernel's queue may hold a request, so it is accepted before the listener closes.
        dispatcher
                .vertx()
                .setTimer(
                        ACCEPT_MILLIS,
                        id -> dispatcher
                                .connectionLimiter()
                                .closeOnceQueueIsEmpty()
                                .onComplete(closed -> dispatcher
                                        .vertx()
                                        .setTimer(
                                                CONNECTION_CHECK_MILLIS,
                                                then -> closeFrontends(
                                                        startedAt + killMillis - LAST_REQUEST_BEFORE_KILL_MILLIS,
                                                        closeTimeoutMillis))));
        // Includes requests from before SIGTERM: none may be without a response when SIGKILL arrives.
        dispatcher
                .vertx()
                .setTimer(
                        Math.max(ACCEPT_MILLIS, killMillis - LAST_RESPONSE_BEFORE_KILL_MILLIS),
                        id -> dispatcher.coordinator().answerAllNow());
    }

    /** Closes the frontends at that time, or as soon as no client is connected. */
    private void closeFrontends(double deadline, long closeTimeoutMillis) {
        if (dispatcher.clock().nowMillis() < deadline
                && dispatcher.frontends().stream().anyMatch(Frontend::hasConnections)) {
            dispatcher.vertx().setTimer(CONNECTION_CHECK_MILLIS, id -> closeFrontends(deadline, closeTimeoutMillis));
        } else {
            dispatcher.serviceState().closeConnections();
            Future.join(dispatcher.frontends().stream()
                            .map(f -> f.closeConnections(closeTimeoutMillis))
                            .toList())
                    .onComplete(r -> done.countDown());
        }
    }
}
