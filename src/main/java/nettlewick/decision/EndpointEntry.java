package nettlewick.decision;

/** A worker in the list; {@code startedAt} 0 means long ago, {@code size} compares it with its kind. */
public record EndpointEntry(
        String id, EndpointState state, long startedAt, int cell, String kind, String zone, double size) {}
