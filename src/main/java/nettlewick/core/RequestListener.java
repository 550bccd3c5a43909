package nettlewick.core;

import java.util.Map;
import nettlewick.decision.AttemptResult;

/** Sees what becomes of jobs and attempts. Called on the core's thread: must not block, throws nothing. */
public interface RequestListener {
    /** Sees nothing. */
    RequestListener NONE = new RequestListener() {};

    /** The core that it sees, before anything else; any thread. */
    default void joins(RequestCoordinator core) {}

    /** A job has been taken. */
    default void asked(Request request) {}

    /** An attempt is over, and how; also one that was never sent. */
    default void ended(Attempt attempt, AttemptResult result) {}

    /** A job was turned away. */
    default void refused(Request request) {}

    /** News of the workers. */
    default void listed(EndpointUpdate roster) {}

    /** Figures for operators, by name; any thread. */
    default Map<String, Number> figures() {
        return Map.of();
    }
}
