package nettlewick.decision;

/** Life of a worker as the list tells it. */
public enum EndpointState {
    READY,
    DRAINING,
    GONE
}
