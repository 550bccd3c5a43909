package nettlewick.net.client;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import nettlewick.core.Clock;
import nettlewick.core.RequestCoordinator;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.lifecycle.ServiceState;

/** A way in for clients. Lives on the event loop; all fronts share one core and so its rules. */
public interface Frontend {
    /** What a front is built on; {@code connections} is how many it may hold. */
    record Base(
            Vertx vertx,
            Context loop,
            PlatformConfig config,
            Clock clock,
            RequestCoordinator core,
            BooleanSupplier holdsList,
            ServiceState state,
            int maxConnections) {}

    /** Makes a front on the event loop. */
    interface Maker {
        Frontend create(Base environment);
    }

    /** Listens; the port that is held comes back. */
    Future<Integer> listen();

    /** Whether a client is connected. */
    boolean connected();

    /** Closes idle connections, and others with their next answer; done when none is left. */
    Future<Void> shut(long timeoutMillis);
}
