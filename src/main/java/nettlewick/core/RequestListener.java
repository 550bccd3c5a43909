package nettlewick.core;

import java.util.Map;
import nettlewick.decision.AttemptResult;

/** Observes requests, attempts and endpoints. Called on the core thread unless noted: must not block or throw. */
public interface RequestListener {
    /** Observes nothing. */
    RequestListener NONE = new RequestListener() {};

    /** The coordinator that it observes; called before anything else, on any thread. */
    default void joins(RequestCoordinator coordinator) {}

    /** A request has been accepted. */
    default void asked(Request request) {}

    /** An attempt is over, and how; also one that was never sent. */
    default void ended(Attempt attempt, AttemptResult result) {}

    /** A request was rejected. */
    default void refused(Request request) {}

    /** The endpoint list was updated. */
    default void listed(EndpointUpdate update) {}

    /** Metrics for operators, by name; any thread. */
    default Map<String, Number> figures() {
        return Map.of();
    }
}
