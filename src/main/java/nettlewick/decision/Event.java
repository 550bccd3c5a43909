package nettlewick.decision;

import java.util.List;

/** What the host tells the decision module. */
public sealed interface Event {
    /** The list of workers: whole (what is missing is gone) or only what changed. */
    record EndpointList(boolean whole, List<EndpointEntry> entries) implements Event {}

    /**
     * An operator has taken a worker out, or put it back: nothing new goes there meanwhile, whatever the list
     * says, and one that is back counts as started at {@code since}. Repeats and unknown workers are fine.
     */
    record EndpointAdminChange(String endpoint, boolean disabled, long since) implements Event {}

    /** All tenants' own workers from now on; who is not named goes by the common ones again. */
    record PoolsAssigned(List<PoolAssignment> assignments) implements Event {}

    /** A subscription or a fetch of the list failed or broke; the old list stands. */
    record EndpointListFailed() implements Event {}

    /** A job that now needs one final answer. {@code tenant} is null where there is none; hint 0 is none. */
    record Arrival(
            String id,
            String requestClass,
            String tenant,
            long remaining,
            double slots,
            double memory,
            long costHint,
            String key,
            boolean repeat)
            implements Event {}

    /** An attempt is over. {@code settled}: the request is over too. {@code load} may be null. */
    record Outcome(
            String id,
            int attempt,
            String endpoint,
            AttemptResult result,
            long latency,
            boolean settled,
            EndpointLoad load)
            implements Event {}

    /** A streamed answer has begun: the attempt is the client's from now on. */
    record StreamStarted(String id, int attempt) implements Event {}

    /** Nobody waits for this request any more. */
    record Abandoned(String id) implements Event {}

    /** A sign of life from an attempt that is still out; {@code share} is the part done. */
    record Progress(String id, int attempt, String endpoint, double share) implements Event {}

    /** The answer to a probe. {@code load} may be null. */
    record ProbeAnswer(String endpoint, AttemptResult result, long latency, EndpointLoad load) implements Event {}

    /** A message from the dispatcher of that rank. */
    record PeerMessageReceived(int rank, byte[] data) implements Event {}

    /** A timer is due. */
    record Timer(String name) implements Event {}
}
