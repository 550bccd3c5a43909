package nettlewick.core;

import java.util.List;
import nettlewick.decision.EndpointState;

/** News of the workers: the whole list, which replaces the former one, or the entries that changed. */
public record EndpointUpdate(boolean whole, List<Entry> entries) {
    /** A worker; {@code startedAt} is in milliseconds of Unix time, 0 for long ago. */
    public record Entry(
            String id, EndpointState state, double startedAt, int cell, String kind, String zone, double size) {}
}
