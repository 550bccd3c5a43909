package nettlewick.net;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import nettlewick.core.Clock;
import nettlewick.core.RequestCoordinator;
import nettlewick.log.ComponentLogger;
import nettlewick.net.lifecycle.HotRestart;
import nettlewick.net.lifecycle.ServiceState;

/**
 * Coordinates the handover between two processes of a dispatcher: a successor waits for its predecessor's long
 * requests, and a predecessor holds long requests back for its successor. Runs on the event loop.
 */
final class HotRestartHandover {
    private static final ComponentLogger LOG = ComponentLogger.of("node");
    /**
     * Longest time from the start of a successor until it accepts clients, while its predecessor finishes long
     * requests. The deployment allows 6 s.
     */
    private static final long SUCCESSOR_READY_MILLIS = 4500;

    private static final long IDLE_CHECK_MILLIS = 100;

    private final Vertx vertx;
    private final Context eventLoop;
    private final Clock clock;
    private final HotRestart hotRestart;
    private final RequestCoordinator coordinator;
    private final ServiceState serviceState;
    private final long minKillDelayMillis;
    /** Start time of the expected successor, in Unix milliseconds; NaN while there is none. */
    private double successorStartedAt = Double.NaN;

    /** Creates the handover; {@code minKillDelayMillis} is the shortest time from SIGTERM to SIGKILL. */
    HotRestartHandover(
            Vertx vertx,
            Context eventLoop,
            Clock clock,
            HotRestart hotRestart,
            RequestCoordinator coordinator,
            ServiceState serviceState,
            long minKillDelayMillis) {
        this.vertx = vertx;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.hotRestart = hotRestart;
        this.coordinator = coordinator;
        this.serviceState = serviceState;
        this.minKillDelayMillis = minKillDelayMillis;
    }

    /** Completes once waiting would save no more of the predecessor's work, or when this process has to be ready. */
    Future<Void> whenPredecessorIdle() {
        Promise<Void> done = Promise.promise();
        pollPredecessor(done);
        return done.future();
    }

    private void pollPredecessor(Promise<Void> done) {
        if (clock.nowMillis() >= hotRestart.startedAt() + SUCCESSOR_READY_MILLIS || !hotRestart.isPredecessorBusy()) {
            done.complete();
        } else {
            vertx.setTimer(IDLE_CHECK_MILLIS, id -> pollPredecessor(done));
        }
    }

    /**
     * Checks whether a successor is starting, and announces when waiting would save no more work of this process.
     * Called periodically.
     */
    void checkForSuccessor() {
        double startedAt = serviceState.isDrainingOrStopping() ? Double.NaN : hotRestart.successorStartedAt();
        if (!Double.isNaN(startedAt) && successorStartedAt != startedAt) {
            successorStartedAt = startedAt;
            coordinator.expectSuccessor(
                    startedAt + SUCCESSOR_READY_MILLIS, startedAt + SUCCESSOR_READY_MILLIS + minKillDelayMillis);
            LOG.info("awaits-successor", "a successor process is starting; holding back long requests");
            pollOwnWork();
        } else if (Double.isNaN(startedAt)
                && !Double.isNaN(successorStartedAt)
                && !serviceState.isDrainingOrStopping()
                && !hotRestart.hasServingSuccessor()) {
            successorStartedAt = Double.NaN;
            coordinator.cancelDraining();
        }
    }

    private void pollOwnWork() {
        coordinator.queryWhetherDelayingDrainHelps(
                minKillDelayMillis,
                worthWaiting -> eventLoop.runOnContext(v -> {
                    if (!worthWaiting) {
                        // From now on the successor may accept clients at any time.
                        coordinator.expectSuccessor(
                                successorStartedAt + SUCCESSOR_READY_MILLIS, clock.nowMillis() + minKillDelayMillis);
                        hotRestart.markIdle();
                    } else {
                        vertx.setTimer(IDLE_CHECK_MILLIS, id -> pollOwnWork());
                    }
                }));
    }
}
