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
 * {@link Timer} not before its time, and hands an arrival's id out only once. A first {@link Result#SERVED}
 * outcome ends its request by itself.
 *
 * <p>The module guarantees one final answer for each arrival within its time (a served outcome,
 * {@link Refuse} or {@link Fail}), sends nothing for it afterwards, and sends only to workers that its list
 * names as ready. It never blocks, reads no clock and draws random numbers from its seed alone: the same
 * events give the same actions.
 */
public interface Dispatcher {
    /** Decides on one batch of events, all of which happen at {@code now}. */
    List<Action> handle(long now, List<Event> events);

    /** How many workers are on the list, and how many of them get no job now. */
    default Rotation rotation() {
        return new Rotation(0, 0);
    }

    /** Workers on the list, and those of them that are left out, by hand or by choice. */
    record Rotation(int listed, int avoided) {}

    /** Peers' datagrams passed over since the start, whole or in part. */
    default PeerFaults peerFaults() {
        return new PeerFaults(0, 0, 0);
    }

    /**
     * Counts of what peers sent and was passed over.
     *
     * @param damaged  datagrams of no kind that this version reads, or truncated
     * @param late     notes that a later one of the same peer had overtaken
     * @param unlisted entries that name no sim runner of this dispatcher's list
     */
    record PeerFaults(long damaged, long late, long unlisted) {}

    /** Makes one instance of the decision module; instances share nothing. */
    static Dispatcher create(Settings settings, long seed) {
        return new Logic(settings, seed);
    }

    /** What a repeated job may do: nothing bad, nothing while workers remember it, or harm. */
    enum Repeat {
        RETRYABLE,
        DEDUP,
        FRAGILE
    }

    /** The group of workers that drops repeats of a dedup job. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** Whether load reports come with outcomes and probes, with probes only, or not at all. */
    enum Reports {
        INLINE,
        ON_PROBE,
        OFF
    }

    /** A class of jobs. {@code kind} is the one worker kind that runs it, an index, or -1 for any. */
    record JobClass(
            String name,
            Repeat repeat,
            Scope scope,
            long window,
            long aim,
            double stretch,
            long deadline,
            double worth,
            double lateWorth,
            boolean stream,
            int kind,
            int priority) {}

    /** A tenant with its share of the service and its rate inside that share over all dispatchers. */
    record Tenant(String name, double fraction, double quotaPerSecond) {}

    /** What this site allows. */
    record Limits(
            int attempts,
            boolean cancel,
            boolean peers,
            boolean probes,
            boolean retryAfter,
            boolean secondCopies,
            long maxRetryAfter) {}

    /** The figures of the four rules. */
    record Rules(
            long answerSlack,
            long askWithin,
            long cold,
            double coldShare,
            long drainGrace,
            long fall,
            double overloadFactor) {}

    /** What one instance is told at its start. {@code rank} counts from 0 below {@code fleetSize}. */
    record Settings(
            int rank,
            int fleetSize,
            String zone,
            List<JobClass> classes,
            List<Tenant> tenants,
            List<String> kinds,
            boolean listOnRequest,
            boolean sizesFixed,
            Reports reports,
            long progress,
            Limits limits,
            Rules rules) {
        /** Copies the lists and rejects settings that make no sense, naming the setting and the value. */
        public Settings {
            check(fleetSize >= 1, "fleetSize", fleetSize);
            check(rank >= 0 && rank < fleetSize, "rank", rank);
            check(!classes.isEmpty(), "classes", classes);
            check(limits.attempts() >= 1, "limits.attempts", limits.attempts());
            check(limits.maxRetryAfter() >= 0, "limits.maxRetryAfter", limits.maxRetryAfter());
            check(rules.coldShare() >= 0 && rules.coldShare() <= 1, "rules.coldShare", rules.coldShare());
            check(rules.cold() >= 0, "rules.cold", rules.cold());
            check(rules.fall() >= 0, "rules.fall", rules.fall());
            check(rules.overloadFactor() > 0, "rules.overloadFactor", rules.overloadFactor());
            for (JobClass c : classes) {
                check(c.kind() >= -1 && c.kind() < kinds.size(), "classes[" + c.name() + "].kind", c.kind());
                check(c.aim() > 0, "classes[" + c.name() + "].aim", c.aim());
                check(c.window() >= 0, "classes[" + c.name() + "].window", c.window());
                check(c.worth() >= 0, "classes[" + c.name() + "].worth", c.worth());
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
    enum Life {
        READY,
        DRAINING,
        GONE
    }

    /** A worker in the list; {@code startedAt} 0 means long ago, {@code size} compares it with its kind. */
    record WorkerEntry(String worker, Life life, long startedAt, int cell, String kind, String zone, double size) {}

    /** A load report; a value that is not reported is NaN. */
    record Load(double freeSlots, double freeMemory, double waiting, double inHand, double busyShare) {}

    /** How an attempt ended. */
    enum Result {
        /** The worker answered. */
        SERVED(false),
        /** The worker answered with an error; the job may have run. */
        ERROR(false),
        /** Turned away unseen. */
        FULL(true),
        /** No answer in time; the job may have run or run still. */
        TIMEOUT(false),
        /** No connection could be made. */
        UNREACHABLE(true),
        /** The connection broke while the attempt was out. */
        BROKEN(false),
        /** Called off; the job may have run. */
        CANCELLED(false),
        /** Never sent. */
        MOOT(true);

        /** True if this result proves that the job never ran. */
        public final boolean neverRan;

        Result(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** News for the module. */
    sealed interface Event
            permits WorkerList,
                    Ban,
                    Assigned,
                    ListFailed,
                    Arrival,
                    Outcome,
                    StreamBegan,
                    Abandoned,
                    Progress,
                    ProbeAnswer,
                    PeerMessage,
                    Timer {}

    /** The list of workers: whole (what is missing is gone) or only what changed. */
    record WorkerList(boolean whole, List<WorkerEntry> entries) implements Event {}

    /**
     * An operator has taken a worker out, or put it back: nothing new goes there meanwhile, whatever the list
     * says, and one that is back counts as started at {@code since}. Repeats and unknown workers are fine.
     */
    record Ban(String worker, boolean out, long since) implements Event {}

    /**
     * A tenant's own workers.
     *
     * @param shut     whether others' jobs keep away from them
     * @param confined whether the tenant's jobs go there only, while one of them is ready
     */
    record Assignment(String tenant, Set<String> workers, boolean shut, boolean confined) {
        /** Copies the set. */
        public Assignment {
            workers = Set.copyOf(workers);
        }
    }

    /** All tenants' own workers from now on; who is not named goes by the common ones again. */
    record Assigned(List<Assignment> assignments) implements Event {}

    /** A subscription or a fetch of the list failed or broke; the old list stands. */
    record ListFailed() implements Event {}

    /** A job that now needs one final answer. {@code tenant} is null where there is none; hint 0 is none. */
    record Arrival(
            String id,
            String jobClass,
            String tenant,
            long remaining,
            double slots,
            double memory,
            long hint,
            String key,
            boolean repeat)
            implements Event {}

    /** An attempt is over. {@code settled}: the request is over too. {@code load} may be null. */
    record Outcome(String id, int attempt, String worker, Result result, long latency, boolean settled, Load load)
            implements Event {}

    /** A streamed answer has begun: the attempt is the client's from now on. */
    record StreamBegan(String id, int attempt) implements Event {}

    /** Nobody waits for this request any more. */
    record Abandoned(String id) implements Event {}

    /** A sign of life from an attempt that is still out; {@code share} is the part done. */
    record Progress(String id, int attempt, String worker, double share) implements Event {}

    /** The answer to a probe. {@code load} may be null. */
    record ProbeAnswer(String worker, Result result, long latency, Load load) implements Event {}

    /** A message from the dispatcher of that rank. */
    record PeerMessage(int rank, byte[] data) implements Event {}

    /** A timer is due. */
    record Timer(String name) implements Event {}

    /** What the module wants done. */
    sealed interface Action permits Dispatch, Refuse, Fail, Cancel, Probe, TellPeer, SetTimer, Subscribe {}

    /** Send the job to a worker; attempts count from 0. {@code timeout} 0: as long as the client waits. */
    record Dispatch(String id, String worker, long timeout) implements Action {}

    /** Final answer: turned away, trying again is harmless. {@code retryAfter} 0 is no advice. */
    record Refuse(String id, long retryAfter) implements Action {}

    /** Final answer: failed; nothing is promised. */
    record Fail(String id) implements Action {}

    /** Stop waiting for one attempt. */
    record Cancel(String id, int attempt) implements Action {}

    /** Ask a worker for its load. */
    record Probe(String worker) implements Action {}

    /** Send bytes to the dispatcher of that rank. */
    record TellPeer(int rank, byte[] data) implements Action {}

    /** Ask for a {@link Timer} after {@code delay}. */
    record SetTimer(String name, long delay) implements Action {}

    /** Open a standing subscription to the list. */
    record Subscribe() implements Action {}
}
