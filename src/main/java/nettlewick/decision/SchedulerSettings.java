package nettlewick.decision;

import java.util.List;

/**
 * The settings of one instance of the decision module. Durations are in nanoseconds.
 *
 * @param rank          this dispatcher's number, from 0 below {@code fleetSize}
 * @param fleetSize     how many dispatchers there are
 * @param zone          its own zone, null if it has none
 * @param classes       the request classes
 * @param tenants       the tenants with their quotas
 * @param kinds         the names of endpoint kinds; other settings use their places here
 * @param listOnRequest whether the endpoint list comes by subscription only
 * @param sizesFixed    whether endpoints of one kind have one size
 * @param loadReporting when load reports come
 * @param progress      the interval of progress events, 0 for none
 * @param limits        what the site allows
 * @param rules         the figures of the site's rules
 */
public record SchedulerSettings(
        int rank,
        int fleetSize,
        String zone,
        List<RequestClass> classes,
        List<Tenant> tenants,
        List<String> kinds,
        boolean requestsEndpointList,
        boolean hasFixedSizes,
        LoadReporting loadReporting,
        long progressIntervalNanos,
        Limits limits,
        Rules rules) {
    /**
     * Copies the lists.
     *
     * @throws IllegalArgumentException for a setting out of its range; the message names setting and value
     */
    public SchedulerSettings {
        check(fleetSize >= 1, "fleetSize", fleetSize);
        check(rank >= 0 && rank < fleetSize, "rank", rank);
        check(!classes.isEmpty(), "classes", classes);
        check(limits.maxAttempts() >= 1, "limits.attempts", limits.maxAttempts());
        check(limits.maxRetryAfterNanos() >= 0, "limits.maxRetryAfter", limits.maxRetryAfterNanos());
        check(rules.slowStartShare() >= 0 && rules.slowStartShare() <= 1, "rules.coldShare", rules.slowStartShare());
        check(rules.slowStartNanos() >= 0, "rules.cold", rules.slowStartNanos());
        check(rules.overloadWindowNanos() >= 0, "rules.fall", rules.overloadWindowNanos());
        check(rules.overloadFactor() > 0, "rules.overloadFactor", rules.overloadFactor());
        for (RequestClass c : classes) {
            check(c.kindIndex() >= -1 && c.kindIndex() < kinds.size(), "classes[" + c.name() + "].kind", c.kindIndex());
            check(c.latencyObjectiveNanos() > 0, "classes[" + c.name() + "].aim", c.latencyObjectiveNanos());
            check(c.dedupWindowNanos() >= 0, "classes[" + c.name() + "].window", c.dedupWindowNanos());
            check(c.priorityWeight() >= 0, "classes[" + c.name() + "].worth", c.priorityWeight());
        }
        for (Tenant t : tenants) {
            check(t.fraction() >= 0 && t.fraction() <= 1, "tenants[" + t.name() + "].fraction", t.fraction());
        }
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        kinds = List.copyOf(kinds);
    }

    private static void check(boolean isValid, String setting, Object value) {
        if (!isValid) {
            throw new IllegalArgumentException("setting " + setting + " makes no sense: " + value);
        }
    }

    /**
     * A class of requests.
     *
     * @param dedupScope         the endpoints that share a memory of idempotency keys
     * @param dedupWindow        how long they remember a key
     * @param latencyObjective   time after arrival within which an answer keeps its full value
     * @param objectiveStretch   part of the expected run time that is added to the objective
     * @param priorityWeight     the value of an answer in time
     * @param latePriorityWeight the value of a later answer
     * @param stream             whether answers are streamed
     * @param kind               the one endpoint kind that serves it, or -1 for any
     */
    public record RequestClass(
            String name,
            Idempotency idempotency,
            Scope dedupScope,
            long dedupWindowNanos,
            long latencyObjectiveNanos,
            double objectiveStretch,
            long deadlineNanos,
            double priorityWeight,
            double latePriorityWeight,
            boolean isStreamed,
            int kindIndex,
            int priority) {}

    /**
     * A tenant and its quota.
     *
     * @param fraction       its part of the service, in [0, 1]
     * @param quotaPerSecond its rate of requests inside that part over all dispatchers
     */
    public record Tenant(String name, double fraction, double quotaPerSecond) {}

    /**
     * What this site allows.
     *
     * @param maxAttempts   attempts for one request, at least 1
     * @param maxRetryAfter the longest advice to clients when to try again
     */
    public record Limits(
            int maxAttempts,
            boolean allowsCancel,
            boolean allowsPeers,
            boolean allowsProbes,
            boolean allowsRetryAfter,
            boolean allowsHedging,
            long maxRetryAfterNanos) {}

    /**
     * The figures of the four rules that a site's dispatchers keep.
     *
     * @param answerSlack    how late an answer may be
     * @param askWithin      time within which a list is asked for
     * @param slowStart      how long an endpoint warms up after its start
     * @param slowStartShare the part of its capacity that it has at its start
     * @param drainGrace     time after a drain within which a request may still arrive
     * @param fall           the window over which an overload of a warming endpoint counts
     * @param overloadFactor how many times its capacity overloads a warming endpoint
     */
    public record Rules(
            long answerSlackNanos,
            long maxListRequestDelayNanos,
            long slowStartNanos,
            double slowStartShare,
            long drainGraceNanos,
            long overloadWindowNanos,
            double overloadFactor) {}

    /** What it means to run a request twice. */
    public enum Idempotency {
        /** Running it again is harmless. */
        IDEMPOTENT,
        /** Harmless within the dedup window and scope of its idempotency key. */
        KEYED,
        /** It must not run twice. */
        NON_IDEMPOTENT
    }

    /** The endpoints that recognise an idempotency key that one of them has seen. */
    public enum Scope {
        /** All endpoints. */
        ALL,
        /** Those of one zone. */
        ZONE,
        /** Those of one cell. */
        CELL
    }

    /** When load reports come. */
    public enum LoadReporting {
        /** With outcomes and with answers to probes. */
        INLINE,
        /** With answers to probes only. */
        ON_PROBE,
        /** Never. */
        OFF
    }
}
