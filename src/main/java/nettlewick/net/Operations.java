package nettlewick.net;

import io.vertx.core.Future;
import java.util.Map;
import nettlewick.core.Metrics;

/** What operators can ask of a dispatcher. Called on the operators' event loop; implementations must not block. */
public interface Operations {
    /** Whether this process takes clients. */
    boolean isReady();

    /** A copy of the metrics now. */
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

    /** Starts to send clients away; false while this process starts or ends. */
    boolean startDraining();

    /** Takes clients again; false if this process ends. */
    boolean stopDraining();
}
