package nettlewick.core;

import java.util.Map;
import nettlewick.decision.AttemptResult;

/** Observes requests, attempts and endpoints. Called on the core thread unless noted; must not block or throw. */
public interface RequestListener {
    /** A listener that does nothing. */
    RequestListener NONE = new RequestListener() {};

    /** Called first, on any thread, with the coordinator that this listener observes. */
    default void onAttached(RequestCoordinator coordinator) {}

    /** A request has been accepted. */
    default void onRequestAccepted(Request request) {}

    /** An attempt ended, including one that was never sent. */
    default void onAttemptEnded(Attempt attempt, AttemptResult result) {}

    /** A request was rejected. */
    default void onRequestRejected(Request request) {}

    /** The endpoint list was updated. */
    default void onEndpointsUpdated(EndpointUpdate update) {}

    /** Metrics for operators, by name; any thread. */
    default Map<String, Number> metrics() {
        return Map.of();
    }
}
