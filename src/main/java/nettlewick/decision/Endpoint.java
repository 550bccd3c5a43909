package nettlewick.decision;

/** An endpoint as this dispatcher knows it: its list entry, room, attempts in flight and health. */
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

    /** Takes a list entry over. {@code kindIndex} is -1 for a kind that the settings do not name. */
    void update(EndpointEntry newEntry, int kindIndex, boolean isInOwnZone) {
        entry = newEntry;
        kind = kindIndex;
        isLocal = isInOwnZone;
        isReady = newEntry.state() == EndpointState.READY;
    }

    /** Forgets the load and the faults of an earlier incarnation. */
    void resetAfterRestart() {
        capacity.reset();
        health.reset();
    }

    void markNotReady() {
        isReady = false;
    }

    /** Whether the entry belongs to an incarnation that is not known yet. */
    boolean isRestartedBy(EndpointEntry newEntry) {
        return entry == null || newEntry.startedAt() != entry.startedAt();
    }

    EndpointEntry entry() {
        return entry;
    }

    /** The place of its kind in the settings, or -1. */
    int kind() {
        return kind;
    }

    boolean isReady() {
        return isReady;
    }

    /** Whether it stands in the dispatcher's own zone. */
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
