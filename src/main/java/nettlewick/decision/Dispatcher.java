package nettlewick.decision;

import java.util.List;
import java.util.Set;

/**
 * The interface of the decision module: settings and events go in, actions come out.
 *
 * <p>Times and durations are whole nanoseconds; the clock has no special start and never goes back. The host
 * calls {@link #handle} from one thread at a time, with the events in the order in which they happened, and
 * carries the actions out in the order given. It reports exactly one {@link Outcome} for each
 * {@link Dispatch} and one {@link ProbeAnswer} for each {@link Probe}, delivers each {@link SetTimer} as a
 * {@link Timer} not before its time, and hands an arrival's id out only once. A first {@link AttemptResult#SERVED}
 * outcome ends its request by itself.
 *
 * <p>The module guarantees one final answer for each arrival within its time (a served outcome,
 * {@link Reject} or {@link Fail}), sends nothing for it afterwards, and sends only to workers that its list
 * names as ready. It never blocks, reads no clock and draws random numbers from its seed alone: the same
 * events give the same actions.
 */
public interface Dispatcher {
    /** Decides on one batch of events, all of which happen at {@code now}. */
    List<Action> handle(long now, List<Event> events);

    /** How many workers are on the list, and how many of them get no job now. */
    default EndpointCounts endpointCounts() {
        return new EndpointCounts(0, 0);
    }

    /** Workers on the list, and those of them that are left out, by hand or by choice. */
    record EndpointCounts(int listed, int ejected) {}

    /** Peers' datagrams passed over since the start, whole or in part. */
    default PeerMessageFaults peerMessageFaults() {
        return new PeerMessageFaults(0, 0, 0);
    }

    /**
     * Counts of what peers sent and was passed over.
     *
     * @param damaged  datagrams of no kind that this version reads, or truncated
     * @param late     notes that a later one of the same peer had overtaken
     * @param unlisted entries that name no sim runner of this dispatcher's list
     */
    record PeerMessageFaults(long damaged, long late, long unlisted) {}

    /** Makes one instance of the decision module; instances share nothing. */
    static Dispatcher create(SchedulerSettings settings, long seed) {
        return new RequestScheduler(settings, seed);
    }

    /** What a repeated job may do: nothing bad, nothing while workers remember it, or harm. */
    enum Idempotency {
        IDEMPOTENT,
        KEYED,
        NON_IDEMPOTENT
    }

    /** The group of workers that drops repeats of a dedup job. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** Whether load reports come with outcomes and probes, with probes only, or not at all. */
    enum LoadReporting {
        INLINE,
        ON_PROBE,
        OFF
    }

    /** A class of jobs. {@code kind} is the one worker kind that runs it, an index, or -1 for any. */
    record RequestClass(
            String name,
            Idempotency idempotency,
            Scope dedupScope,
            long dedupWindow,
            long latencyObjective,
            double objectiveStretch,
            long deadline,
            double priorityWeight,
            double latePriorityWeight,
            boolean stream,
            int kind,
            int priority) {}

    /** A tenant with its share of the service and its rate inside that share over all dispatchers. */
    record Tenant(String name, double fraction, double quotaPerSecond) {}

    /** What this site allows. */
    record Limits(
            int maxAttempts,
            boolean cancel,
            boolean peers,
            boolean probes,
            boolean retryAfter,
            boolean hedgedRequests,
            long maxRetryAfter) {}

    /** The figures of the four rules. */
    record Rules(
            long answerSlack,
            long askWithin,
            long slowStart,
            double slowStartShare,
            long drainGrace,
            long fall,
            double overloadFactor) {}

    /** What one instance is told at its start. {@code rank} counts from 0 below {@code fleetSize}. */
    record SchedulerSettings(
            int rank,
            int fleetSize,
            String zone,
            List<RequestClass> classes,
            List<Tenant> tenants,
            List<String> kinds,
            boolean listOnRequest,
            boolean sizesFixed,
            LoadReporting loadReporting,
            long progress,
            Limits limits,
            Rules rules) {
        /** Copies the lists and rejects settings that make no sense, naming the setting and the value. */
        public SchedulerSettings {
            check(fleetSize >= 1, "fleetSize", fleetSize);
            check(rank >= 0 && rank < fleetSize, "rank", rank);
            check(!classes.isEmpty(), "classes", classes);
            check(limits.maxAttempts() >= 1, "limits.attempts", limits.maxAttempts());
            check(limits.maxRetryAfter() >= 0, "limits.maxRetryAfter", limits.maxRetryAfter());
            check(
                    rules.slowStartShare() >= 0 && rules.slowStartShare() <= 1,
                    "rules.coldShare",
                    rules.slowStartShare());
            check(rules.slowStart() >= 0, "rules.cold", rules.slowStart());
            check(rules.fall() >= 0, "rules.fall", rules.fall());
            check(rules.overloadFactor() > 0, "rules.overloadFactor", rules.overloadFactor());
            for (RequestClass c : classes) {
                check(c.kind() >= -1 && c.kind() < kinds.size(), "classes[" + c.name() + "].kind", c.kind());
                check(c.latencyObjective() > 0, "classes[" + c.name() + "].aim", c.latencyObjective());
                check(c.dedupWindow() >= 0, "classes[" + c.name() + "].window", c.dedupWindow());
                check(c.priorityWeight() >= 0, "classes[" + c.name() + "].worth", c.priorityWeight());
            }
            for (Tenant t : tenants) {
                check(t.fraction() >= 0 && t.fraction() <= 1, "tenants[" + t.name() + "].fraction", t.fraction());
            }
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            kinds = List.copyOf(kinds);
        }

        private static void check(boolean fine, String setting, Object value) {
            if (!fine) {
                throw new IllegalArgumentException("setting " + setting + " makes no sense: " + value);
            }
        }
    }

    /** Life of a worker as the list tells it. */
    enum EndpointState {
        READY,
        DRAINING,
        GONE
    }

    /** A worker in the list; {@code startedAt} 0 means long ago, {@code size} compares it with its kind. */
    record EndpointEntry(
            String id, EndpointState state, long startedAt, int cell, String kind, String zone, double size) {}

    /** A load report; a value that is not reported is NaN. */
    record EndpointLoad(double freeSlots, double freeMemory, double waiting, double inHand, double busyShare) {}

    /** How an attempt ended. */
    enum AttemptResult {
        /** The worker answered. */
        SERVED(false),
        /** The worker answered with an error; the job may have run. */
        ERROR(false),
        /** Turned away unseen. */
        OVERLOADED(true),
        /** No answer in time; the job may have run or run still. */
        TIMEOUT(false),
        /** No connection could be made. */
        UNREACHABLE(true),
        /** The connection broke while the attempt was out. */
        BROKEN(false),
        /** Called off; the job may have run. */
        CANCELLED(false),
        /** Never sent. */
        NOT_SENT(true);

        /** True if this result proves that the job never ran. */
        public final boolean neverRan;

        AttemptResult(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** News for the module. */
    sealed interface Event
            permits EndpointList,
                    EndpointAdminChange,
                    PoolsAssigned,
                    EndpointListFailed,
                    Arrival,
                    Outcome,
                    StreamStarted,
                    Abandoned,
                    Progress,
                    ProbeAnswer,
                    PeerMessageReceived,
                    Timer {}

    /** The list of workers: whole (what is missing is gone) or only what changed. */
    record EndpointList(boolean whole, List<EndpointEntry> entries) implements Event {}

    /**
     * An operator has taken a worker out, or put it back: nothing new goes there meanwhile, whatever the list
     * says, and one that is back counts as started at {@code since}. Repeats and unknown workers are fine.
     */
    record EndpointAdminChange(String endpoint, boolean disabled, long since) implements Event {}

    /**
     * A tenant's own workers.
     *
     * @param shut     whether others' jobs keep away from them
     * @param confined whether the tenant's jobs go there only, while one of them is ready
     */
    record PoolAssignment(String tenant, Set<String> endpoints, boolean exclusive, boolean confined) {
        /** Copies the set. */
        public PoolAssignment {
            endpoints = Set.copyOf(endpoints);
        }
    }

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

    /** What the module wants done. */
    sealed interface Action permits Dispatch, Reject, Fail, Cancel, Probe, SendToPeer, SetTimer, Subscribe {}

    /** Send the job to a worker; attempts count from 0. {@code timeout} 0: as long as the client waits. */
    record Dispatch(String id, String endpoint, long timeout) implements Action {}

    /** Final answer: turned away, trying again is harmless. {@code retryAfter} 0 is no advice. */
    record Reject(String id, long retryAfter) implements Action {}

    /** Final answer: failed; nothing is promised. */
    record Fail(String id) implements Action {}

    /** Stop waiting for one attempt. */
    record Cancel(String id, int attempt) implements Action {}

    /** Ask a worker for its load. */
    record Probe(String endpoint) implements Action {}

    /** Send bytes to the dispatcher of that rank. */
    record SendToPeer(int rank, byte[] data) implements Action {}

    /** Ask for a {@link Timer} after {@code delay}. */
    record SetTimer(String name, long delay) implements Action {}

    /** Open a standing subscription to the list. */
    record Subscribe() implements Action {}
}
