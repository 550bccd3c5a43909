package nettlewick.decision;

/** The state of an endpoint as the list gives it. */
public enum EndpointState {
    /** Takes requests. */
    READY,
    /** Finishes what it has and takes nothing new. */
    DRAINING,
    /** No longer exists. */
    GONE
}
