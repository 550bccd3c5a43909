package nettlewick.admin;

import io.vertx.core.Future;
import java.util.Map;
import nettlewick.core.Metrics;

/** What operators can ask of a dispatcher. Called on the operators' event loop; nothing here blocks. */
public interface Operations {
    /** Whether this process takes clients. */
    boolean ready();

    /** The figures now. */
    Metrics.Snapshot figures();

    /** Figures of parts that not every dispatcher has, by name. */
    default Map<String, Number> more() {
        return Map.of();
    }

    /** Takes a sim runner out, or puts it back; false if none has this id. In force once it is told. */
    Future<Boolean> ban(String endpoint, boolean out);

    /** Sends clients away; false while this process starts or ends. */
    boolean drain();

    /** Takes clients again; false if this process ends. */
    boolean resume();
}
