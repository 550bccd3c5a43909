package nettlewick.net.client;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import nettlewick.core.Clock;
import nettlewick.core.RequestCoordinator;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.lifecycle.ServiceState;

/** Serves clients by one protocol on one address. Runs on the event loop; all frontends share one coordinator. */
public interface Frontend {
    /**
     * The parts that a frontend is built on.
     *
     * @param eventLoop the event loop that the frontend runs on
     * @param canServe whether the dispatcher can serve: it has an endpoint list and is warmed up
     * @param maxConnections how many client connections the frontend may hold
     */
    record Environment(
            Vertx vertx,
            Context eventLoop,
            PlatformConfig config,
            Clock clock,
            RequestCoordinator coordinator,
            BooleanSupplier canServe,
            ServiceState serviceState,
            int maxConnections) {}

    /** Creates a frontend; called on the event loop. */
    interface Factory {
        /** Creates the frontend; it does not listen yet. */
        Frontend create(Environment environment);
    }

    /** Starts listening; completes with the port. */
    Future<Integer> listen();

    /** Whether any client is connected. */
    boolean hasConnections();

    /**
     * Closes idle connections, and others with their next response; completes when none is left or after the
     * timeout.
     */
    Future<Void> closeConnections(long timeoutMillis);
}
