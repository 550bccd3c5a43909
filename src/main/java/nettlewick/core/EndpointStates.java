package nettlewick.core;

import java.util.HashSet;
import java.util.Set;
import nettlewick.decision.EndpointEntry;
import nettlewick.decision.EndpointState;
import nettlewick.decision.Event.EndpointList;

/** Tracks which endpoints have ever been listed and which of them accept requests. Core thread only. */
final class EndpointStates {
    private final Set<String> known = new HashSet<>();
    private final Set<String> ready = new HashSet<>();
    private final Set<String> disabled = new HashSet<>();

    /** Applies an update and returns it as an event for the decision module. */
    EndpointList apply(EndpointUpdate update) {
        if (update.isFullList()) {
            ready.clear();
        }
        update.entries().forEach(this::apply);
        return new EndpointList(
                update.isFullList(),
                update.entries().stream().map(EndpointStates::toModuleEntry).toList());
    }

    private void apply(EndpointUpdate.Entry entry) {
        known.add(entry.id());
        if (entry.state() == EndpointState.READY) {
            ready.add(entry.id());
        } else {
            ready.remove(entry.id());
        }
    }

    private static EndpointEntry toModuleEntry(EndpointUpdate.Entry entry) {
        return new EndpointEntry(
                entry.id(),
                entry.state(),
                entry.startedAtMillis() > 0 ? ModuleTime.toNanos(entry.startedAtMillis()) : 0,
                entry.cell(),
                entry.kind(),
                entry.zone(),
                entry.size());
    }

    /** Sets whether the endpoint is administratively disabled. */
    void setDisabled(String endpoint, boolean isDisabled) {
        if (isDisabled) {
            disabled.add(endpoint);
        } else {
            disabled.remove(endpoint);
        }
    }

    /** Whether the endpoint has ever been listed. */
    boolean isKnown(String endpoint) {
        return known.contains(endpoint);
    }

    /** Whether the endpoint is listed as ready and not disabled. */
    boolean isAccepting(String endpoint) {
        return ready.contains(endpoint) && !disabled.contains(endpoint);
    }
}
