package nettlewick.core;

import java.util.List;
import nettlewick.decision.EndpointState;

/**
 * An update of the endpoint list.
 *
 * @param isFullList whether the entries replace the current list; otherwise they are the changed endpoints
 * @param entries    the endpoints
 */
public record EndpointUpdate(boolean isFullList, List<Entry> entries) {
    /**
     * One endpoint.
     *
     * @param startedAtMillis start time in milliseconds since the Unix epoch; 0 if it started long ago
     * @param cell            the cell that the endpoint belongs to
     * @param kind            the endpoint kind, as named in the settings
     * @param zone            the zone that the endpoint runs in
     * @param size            the capacity
     */
    public record Entry(
            String id, EndpointState state, double startedAtMillis, int cell, String kind, String zone, double size) {}
}
