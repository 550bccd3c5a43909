package nettlewick.net;

import io.vertx.core.Future;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.log.ComponentLogger;
import nettlewick.net.client.Frontend;

/**
 * The planned end of a dispatcher after SIGTERM, in milliseconds from it:
 *
 * <ol>
 * <li>until {@link #ACCEPT_ON} connections are accepted, then what waits in the kernel's queue, then none;
 * <li>until {@link #LAST_TAKEN} before the kill, requests on open connections are served as ever;
 * <li>from then on each answer is its connection's last, and idle connections are ended;
 * <li>{@link #LAST_ANSWERED} before the kill, all that is open gets its final answer; the rest is refused.
 * </ol>
 *
 * <p>With a successor that takes clients, new connections are left to it from the start.
 */
final class GracefulShutdown {
    private static final ComponentLogger LOG = ComponentLogger.of("node");
    /** New connections keep coming for this long after SIGTERM. */
    private static final long ACCEPT_MILLIS = 700;

    private static final long CLOSE_MARGIN_MILLIS = 500;
    /**
     * SIGKILL comes no sooner than this after the longest deadline, which counts as LONGEST at most. Clients
     * go on using the connections they have, so these are served for nearly as long: one whose connection is
     * closed finds nobody else here until the restart.
     */
    private static final long KILL_MARGIN_MILLIS = 700;

    private static final long MAX_DEADLINE_MILLIS = 3000;
    /** Before the kill: until when requests are taken, and when what is still open is ended. */
    private static final long LAST_REQUEST_BEFORE_KILL_MILLIS = 600;

    private static final long LAST_RESPONSE_BEFORE_KILL_MILLIS = 250;
    private static final long CONNECTION_CHECK_MILLIS = 50;

    private final DispatcherServer dispatcher;
    private final boolean hasSuccessor;
    private final CountDownLatch done = new CountDownLatch(1);

    /** {@code successor} tells whether another process takes clients at this address. */
    GracefulShutdown(DispatcherServer dispatcher, boolean hasSuccessor) {
        this.dispatcher = dispatcher;
        this.hasSuccessor = hasSuccessor;
    }

    private static long longestDeadlineMillis(SchedulerSettings settings) {
        return settings.classes().stream()
                        .mapToLong(RequestClass::deadline)
                        .max()
                        .orElse(0)
                / 1_000_000;
    }

    /** From SIGTERM to SIGKILL at the least, in milliseconds. */
    static long minKillDelayMillis(SchedulerSettings settings) {
        return Math.min(longestDeadlineMillis(settings), MAX_DEADLINE_MILLIS) + KILL_MARGIN_MILLIS;
    }

    /** Runs the planned end; blocks until all is answered, or until the longest deadline has passed. */
    void run() {
        LOG.info(
                hasSuccessor ? "hands-over" : "shutting-down",
                hasSuccessor ? "handing over to the process that succeeds this one" : "shutting down");
        SchedulerSettings settings = dispatcher.settings();
        long longestMillis = longestDeadlineMillis(settings);
        long killMillis = minKillDelayMillis(settings);
        double startedAt = dispatcher.clock.now();
        dispatcher.eventLoop.runOnContext(v -> begin(startedAt, killMillis, longestMillis + CLOSE_MARGIN_MILLIS));
        try {
            done.await(killMillis + longestMillis + CLOSE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.info("shut-down", "shut down");
    }

    private void begin(double startedAt, long killMillis, long closeTimeoutMillis) {
        if (dispatcher.coordinator == null) {
            // The signal has come before the start: nothing is served yet.
            done.countDown();
            return;
        }
        dispatcher.serviceState().beginShutdown(hasSuccessor);
        dispatcher.coordinator.startDraining(startedAt + killMillis);
        if (hasSuccessor) {
            dispatcher.connectionLimiter.closeOnceQueueIsEmpty();
            dispatcher.peerSocket.close();
        }
        // A connection that waits in the kernel's queue may hold a request: it is accepted before the end.
        dispatcher.vertx.setTimer(
                ACCEPT_MILLIS,
                id -> dispatcher
                        .connectionLimiter
                        .closeOnceQueueIsEmpty()
                        .onComplete(closed -> dispatcher.vertx.setTimer(
                                CONNECTION_CHECK_MILLIS,
                                then -> closeFrontends(
                                        startedAt + killMillis - LAST_REQUEST_BEFORE_KILL_MILLIS,
                                        closeTimeoutMillis))));
        // All of it, also what came before the signal: a kill finds nothing that is owed an answer.
        dispatcher.vertx.setTimer(
                Math.max(ACCEPT_MILLIS, killMillis - LAST_RESPONSE_BEFORE_KILL_MILLIS),
                id -> dispatcher.coordinator.answerAllNow());
    }

    /** Ends the fronts at that time, or as soon as nobody is connected. */
    private void closeFrontends(double deadline, long closeTimeoutMillis) {
        if (dispatcher.clock.now() < deadline && dispatcher.frontends().stream().anyMatch(Frontend::connected)) {
            dispatcher.vertx.setTimer(CONNECTION_CHECK_MILLIS, id -> closeFrontends(deadline, closeTimeoutMillis));
        } else {
            dispatcher.serviceState().closeConnections();
            Future.join(dispatcher.frontends().stream()
                            .map(f -> f.shut(closeTimeoutMillis))
                            .toList())
                    .onComplete(r -> done.countDown());
        }
    }
}
