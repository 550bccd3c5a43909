package nettlewick.net;

import io.vertx.core.Future;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.log.ComponentLogger;

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
    private static final long ACCEPT_ON = 700;

    private static final long SHUT_SPARE = 500;
    /**
     * SIGKILL comes no sooner than this after the longest deadline, which counts as LONGEST at most. Clients
     * go on using the connections they have, so these are served for nearly as long: one whose connection is
     * closed finds nobody else here until the restart.
     */
    private static final long KILL = 700;

    private static final long LONGEST = 3000;
    /** Before the kill: until when requests are taken, and when what is still open is ended. */
    private static final long LAST_TAKEN = 600;

    private static final long LAST_ANSWERED = 250;
    private static final long LOOK = 50;

    private final DispatcherServer node;
    private final boolean successor;
    private final CountDownLatch done = new CountDownLatch(1);

    /** {@code successor} tells whether another process takes clients at this address. */
    GracefulShutdown(DispatcherServer node, boolean successor) {
        this.node = node;
        this.successor = successor;
    }

    private static long longestDeadline(SchedulerSettings settings) {
        return settings.classes().stream()
                        .mapToLong(RequestClass::deadline)
                        .max()
                        .orElse(0)
                / 1_000_000;
    }

    /** From SIGTERM to SIGKILL at the least, in milliseconds. */
    static long killSpan(SchedulerSettings settings) {
        return Math.min(longestDeadline(settings), LONGEST) + KILL;
    }

    /** Runs the planned end; blocks until all is answered, or until the longest deadline has passed. */
    void run() {
        LOG.info(
                successor ? "hands-over" : "shutting-down",
                successor ? "handing over to the process that succeeds this one" : "shutting down");
        SchedulerSettings settings = node.settings();
        long longest = longestDeadline(settings);
        long kill = killSpan(settings);
        double began = node.clock.now();
        node.loop.runOnContext(v -> begin(began, kill, longest + SHUT_SPARE));
        try {
            done.await(kill + longest + SHUT_SPARE, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.info("shut-down", "shut down");
    }

    private void begin(double began, long kill, long patience) {
        if (node.core == null) {
            // The signal has come before the start: nothing is served yet.
            done.countDown();
            return;
        }
        node.state().end(successor);
        node.core.startDraining(began + kill);
        if (successor) {
            node.gate.closeOnceEmpty();
            node.peers.close();
        }
        // A connection that waits in the kernel's queue may hold a request: it is accepted before the end.
        node.vertx.setTimer(
                ACCEPT_ON,
                id -> node.gate
                        .closeOnceEmpty()
                        .onComplete(
                                closed -> node.vertx.setTimer(LOOK, then -> end(began + kill - LAST_TAKEN, patience))));
        // All of it, also what came before the signal: a kill finds nothing that is owed an answer.
        node.vertx.setTimer(Math.max(ACCEPT_ON, kill - LAST_ANSWERED), id -> node.core.answerAllNow());
    }

    /** Ends the fronts at that time, or as soon as nobody is connected. */
    private void end(double at, long patience) {
        if (node.clock.now() < at && node.fronts().stream().anyMatch(Frontend::connected)) {
            node.vertx.setTimer(LOOK, id -> end(at, patience));
        } else {
            node.state().shut();
            Future.join(node.fronts().stream().map(f -> f.shut(patience)).toList())
                    .onComplete(r -> done.countDown());
        }
    }
}
