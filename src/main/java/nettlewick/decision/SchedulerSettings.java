package nettlewick.decision;

import java.util.List;

/**
 * The settings of one instance of the decision module. Durations are in nanoseconds.
 *
 * @param rank                  this dispatcher's rank, from 0 to {@code fleetSize} - 1
 * @param fleetSize             the number of dispatchers
 * @param zone                  this dispatcher's zone, or null
 * @param classes               the request classes
 * @param tenants               the tenants with their quotas
 * @param kinds                 the names of the endpoint kinds; other settings refer to a kind by its index
 * @param requestsEndpointList  whether the endpoint list has to be requested by a subscription
 * @param hasFixedSizes         whether all endpoints of one kind have the same size
 * @param loadReporting         when endpoints send load reports
 * @param progressIntervalNanos the interval of progress events, 0 for none
 * @param limits                what the site allows
 * @param rules                 the parameters of the site's rules
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
     * Validates the settings and copies the lists.
     *
     * @throws IllegalArgumentException if a setting is out of range; the message names the setting and its value
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
     * A request class.
     *
     * @param dedupScope            the endpoints among which idempotency keys are recognised
     * @param dedupWindowNanos      how long an idempotency key is remembered
     * @param latencyObjectiveNanos time after arrival within which an answer has its full value
     * @param objectiveStretch      multiple of the expected run time that is added to the latency objective
     * @param priorityWeight        the value of an answer within the latency objective
     * @param latePriorityWeight    the value of a later answer
     * @param isStreamed            whether answers are streamed
     * @param kindIndex             the index of the only endpoint kind that serves the class, or -1 for any kind
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
     * @param fraction       its fraction of the capacity, in [0, 1]
     * @param quotaPerSecond the requests per second within that fraction, over all dispatchers
     */
    public record Tenant(String name, double fraction, double quotaPerSecond) {}

    /**
     * What this site allows.
     *
     * @param maxAttempts        attempts for one request, at least 1
     * @param maxRetryAfterNanos the longest retry delay that clients are told
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
     * The parameters of the four rules that the dispatchers of a site must keep.
     *
     * @param answerSlackNanos         how late after its deadline a request may be answered
     * @param maxListRequestDelayNanos time within which the endpoint list has to be requested
     * @param slowStartNanos           duration of the slow start of an endpoint
     * @param slowStartShare           the fraction of its capacity that an endpoint has when it starts
     * @param drainGraceNanos          time after the start of draining within which requests may still arrive
     * @param overloadWindowNanos      the window over which the load of an endpoint in slow start is measured
     * @param overloadFactor           multiple of its capacity that overloads an endpoint in slow start
     */
    public record Rules(
            long answerSlackNanos,
            long maxListRequestDelayNanos,
            long slowStartNanos,
            double slowStartShare,
            long drainGraceNanos,
            long overloadWindowNanos,
            double overloadFactor) {}

    /** Whether a request may run more than once. */
    public enum Idempotency {
        /** It can safely run again. */
        IDEMPOTENT,
        /** It can safely be sent again within the dedup window and scope of its idempotency key. */
        KEYED,
        /** It must not run twice. */
        NON_IDEMPOTENT
    }

    /** The set of endpoints that recognise an idempotency key that one of them has seen. */
    public enum Scope {
        /** All endpoints. */
        ALL,
        /** The endpoints of one zone. */
        ZONE,
        /** The endpoints of one cell. */
        CELL
    }

    /** When endpoints send load reports. */
    public enum LoadReporting {
        /** With outcomes and with answers to probes. */
        INLINE,
        /** With answers to probes only. */
        ON_PROBE,
        /** Never. */
        OFF
    }
}
