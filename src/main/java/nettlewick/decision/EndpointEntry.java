package nettlewick.decision;

/**
 * An entry of the endpoint list.
 *
 * @param startedAt when its process started, in nanoseconds; 0 if that was long ago
 * @param cell      its dedup cell
 * @param zone      its zone, or null
 * @param size      its capacity relative to its kind
 */
public record EndpointEntry(
        String id, EndpointState state, long startedAt, int cell, String kind, String zone, double size) {}
