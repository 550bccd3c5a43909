package nettlewick.decision;

/** What this dispatcher knows of an endpoint: its list entry, capacity, attempts in flight and health. */
final class Endpoint {
    private final String id;
    private EndpointEntry entry;
    private int kind;
    private boolean isReady;
    private boolean isLocal;
    private final EndpointCapacity capacity = new EndpointCapacity();
    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final EndpointHealth health = new EndpointHealth();
    private final SlowStartCredit slowStartCredit = new SlowStartCredit();

    Endpoint(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    /** Applies a list entry. {@code kindIndex} is -1 for a kind that the settings do not define. */
    void update(EndpointEntry newEntry, int kindIndex, boolean isInOwnZone) {
        entry = newEntry;
        kind = kindIndex;
        isLocal = isInOwnZone;
        isReady = newEntry.state() == EndpointState.READY;
    }

    /** Discards the load and health data of the previous incarnation. */
    void resetAfterRestart() {
        capacity.reset();
        health.reset();
    }

    void markNotReady() {
        isReady = false;
    }

    /** Whether the entry describes an incarnation that is not known yet. */
    boolean isRestartedBy(EndpointEntry newEntry) {
        return entry == null || newEntry.startedAt() != entry.startedAt();
    }

    EndpointEntry entry() {
        return entry;
    }

    /** The index of its kind in the settings, or -1. */
    int kind() {
        return kind;
    }

    boolean isReady() {
        return isReady;
    }

    /** Whether it is in the dispatcher's own zone. */
    boolean isLocal() {
        return isLocal;
    }

    EndpointCapacity capacity() {
        return capacity;
    }

    InFlightAttempts inFlight() {
        return inFlight;
    }

    EndpointHealth health() {
        return health;
    }

    SlowStartCredit slowStartCredit() {
        return slowStartCredit;
    }
}
