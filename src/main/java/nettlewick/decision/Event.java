package nettlewick.decision;

import java.util.List;

/** An event that the host reports to the decision module. */
public sealed interface Event {
    /** A complete endpoint list, from which missing endpoints are gone, or only the entries that changed. */
    record EndpointList(boolean isComplete, List<EndpointEntry> entries) implements Event {}

    /**
     * An operator disabled an endpoint or enabled it again. A disabled endpoint gets no new requests, whatever
     * the endpoint list says; an endpoint enabled again counts as started at {@code since}. Repeated changes and
     * unknown endpoints are allowed.
     */
    record EndpointAdminChange(String endpoint, boolean isDisabled, long since) implements Event {}

    /** Replaces all assignments of dedicated endpoints; tenants without one use the common endpoints. */
    record PoolsAssigned(List<PoolAssignment> assignments) implements Event {}

    /** A subscription to the endpoint list, or a fetch of it, failed; the last list stays in use. */
    record EndpointListFailed() implements Event {}

    /**
     * A request arrived and needs a final answer.
     *
     * @param tenant         the tenant's name, or null
     * @param remainingNanos time until its deadline
     * @param slots          slots that the request occupies at an endpoint
     * @param memory         memory that the request occupies at an endpoint
     * @param costHintNanos  expected run time, 0 if unknown
     * @param key            affinity key: requests with the same key preferably go to the same endpoints; or null
     * @param isClientRetry  whether it is a client's retry of a rejected request
     */
    record Arrival(
            String id,
            String requestClass,
            String tenant,
            long remainingNanos,
            double slots,
            double memory,
            long costHintNanos,
            String key,
            boolean isClientRetry)
            implements Event {}

    /**
     * The outcome of an attempt.
     *
     * @param latencyNanos time since the dispatch
     * @param isFinal      whether the outcome also ends the request
     * @param load         the load report that came with the outcome, or null
     */
    record Outcome(
            String id,
            int attempt,
            String endpoint,
            AttemptResult result,
            long latencyNanos,
            boolean isFinal,
            EndpointLoad load)
            implements Event {}

    /** An attempt began to stream its answer: no other attempt may answer the request. */
    record StreamStarted(String id, int attempt) implements Event {}

    /** The client no longer waits for this request. */
    record Abandoned(String id) implements Event {}

    /** Progress of an attempt in flight; {@code completedShare} is 0 when the request has just started. */
    record Progress(String id, int attempt, String endpoint, double completedShare) implements Event {}

    /** The result of a load probe, {@code latencyNanos} after it was sent; {@code load} may be null. */
    record ProbeAnswer(String endpoint, AttemptResult result, long latencyNanos, EndpointLoad load) implements Event {}

    /** A datagram from the dispatcher with this rank. */
    record PeerMessageReceived(int rank, byte[] data) implements Event {}

    /** A timer set by {@link Action.SetTimer} expired. */
    record Timer(String name) implements Event {}
}
