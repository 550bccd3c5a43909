package nettlewick.core;

import java.util.List;
import nettlewick.decision.EndpointState;

/**
 * An update of the endpoint list.
 *
 * @param whole   whether the entries replace the former list; else they are those that changed
 * @param entries the endpoints
 */
public record EndpointUpdate(boolean isFullList, List<Entry> entries) {
    /**
     * One endpoint.
     *
     * @param startedAt when it started, in milliseconds of Unix time, 0 for long ago
     * @param cell      the cell that it belongs to
     * @param kind      the kind of endpoint, as the settings name it
     * @param zone      the zone that it runs in
     * @param size      its capacity
     */
    public record Entry(
            String id, EndpointState state, double startedAtMillis, int cell, String kind, String zone, double size) {}
}
