package nettlewick.decision;

/** The state of an endpoint according to the endpoint list. */
public enum EndpointState {
    /** Accepts requests. */
    READY,
    /** Finishes its requests and accepts no new ones. */
    DRAINING,
    /** No longer exists. */
    GONE
}
