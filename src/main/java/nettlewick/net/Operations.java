package nettlewick.net;

import io.vertx.core.Future;
import java.util.Map;
import nettlewick.core.Metrics;

/**
 * The operations that operators can call on a dispatcher. Called on the admin event loop; implementations must not
 * block.
 */
public interface Operations {
    /** Whether this process accepts clients. */
    boolean isReady();

    /** A snapshot of the metrics. */
    Metrics.Snapshot metrics();

    /** Metrics of parts that not every dispatcher has, by name without the common prefix. */
    default Map<String, Number> additionalMetrics() {
        return Map.of();
    }

    /**
     * Disables an endpoint administratively, or enables it again.
     *
     * @return completes once the change is stored and in force, with false if no endpoint has this id; fails if the
     *         change cannot be stored
     */
    Future<Boolean> setEndpointDisabled(String endpoint, boolean isDisabled);

    /** Starts draining; returns false while this process is starting or shutting down. */
    boolean startDraining();

    /** Stops draining; returns false if this process is shutting down. */
    boolean stopDraining();
}
