package nettlewick.net;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import nettlewick.core.Clock;
import nettlewick.core.Core;

/** A way in for clients. Lives on the event loop; all fronts share one core and so its rules. */
public interface Front {
    /** What a front is built on; {@code connections} is how many it may hold. */
    record Base(Vertx vertx, Context loop, Config config, Clock clock, Core core,
            BooleanSupplier holdsList, int connections) {
    }

    /** Makes a front on the event loop. */
    interface Maker {
        Front make(Base base);
    }

    /** Listens; the port that is held comes back. */
    Future<Integer> listen();

    /** From now on every answer closes its connection. */
    void drain();

    /** Takes nothing new, closes idle connections and waits until all that was taken is answered. */
    Future<Void> shut(long millis);
}
