package nettlewick.decision;

import java.util.List;

/** An event that the host reports to the decision module. */
public sealed interface Event {
    /** The endpoint list: whole, so that endpoints missing in it are gone, or only the entries that changed. */
    record EndpointList(boolean isComplete, List<EndpointEntry> entries) implements Event {}

    /**
     * An operator has disabled an endpoint or enabled it again. Nothing new goes to a disabled endpoint,
     * whatever the list says; one that is enabled again counts as started at {@code since}. Repeated changes and
     * unknown endpoints are allowed.
     */
    record EndpointAdminChange(String endpoint, boolean isDisabled, long since) implements Event {}

    /** All tenants' dedicated endpoints from now on; tenants that are not named use the common ones again. */
    record PoolsAssigned(List<PoolAssignment> assignments) implements Event {}

    /** A subscription to the endpoint list, or a fetch of it, failed; the last list remains in force. */
    record EndpointListFailed() implements Event {}

    /**
     * A request that needs one final answer from now on.
     *
     * @param tenant    the tenant's name, null where there is none
     * @param remaining nanoseconds until the client gives up
     * @param slots     slots that it takes at an endpoint
     * @param memory    memory that it takes there
     * @param costHint  expected run time in nanoseconds, 0 if unknown
     * @param key       requests of one key are best served by the same endpoints; null for none
     * @param repeat    whether the client sends it again after a rejection
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
     * @param latency nanoseconds from the dispatch
     * @param settled whether the request is over too
     * @param load    the load report that came with it, or null
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

    /** A streamed answer has begun: only this attempt may answer from now on. */
    record StreamStarted(String id, int attempt) implements Event {}

    /** The client no longer waits for this request. */
    record Abandoned(String id) implements Event {}

    /** Progress of an attempt in flight; {@code share} is the part done, 0 when it has just started. */
    record Progress(String id, int attempt, String endpoint, double completedShare) implements Event {}

    /** The answer to a probe, after {@code latency} nanoseconds; {@code load} may be null. */
    record ProbeAnswer(String endpoint, AttemptResult result, long latencyNanos, EndpointLoad load) implements Event {}

    /** A datagram from the dispatcher of that rank. */
    record PeerMessageReceived(int rank, byte[] data) implements Event {}

    /** A timer set by {@link Action.SetTimer} is due. */
    record Timer(String name) implements Event {}
}
