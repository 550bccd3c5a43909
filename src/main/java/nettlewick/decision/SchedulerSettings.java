package nettlewick.decision;

import java.util.List;

/** What one instance is told at its start. {@code rank} counts from 0 below {@code fleetSize}. */
public record SchedulerSettings(
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
        check(rules.slowStartShare() >= 0 && rules.slowStartShare() <= 1, "rules.coldShare", rules.slowStartShare());
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

    /** A class of jobs. {@code kind} is the one worker kind that runs it, an index, or -1 for any. */
    public record RequestClass(
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
    public record Tenant(String name, double fraction, double quotaPerSecond) {}

    /** What this site allows. */
    public record Limits(
            int maxAttempts,
            boolean cancel,
            boolean peers,
            boolean probes,
            boolean retryAfter,
            boolean hedgedRequests,
            long maxRetryAfter) {}

    /** The figures of the four rules. */
    public record Rules(
            long answerSlack,
            long askWithin,
            long slowStart,
            double slowStartShare,
            long drainGrace,
            long fall,
            double overloadFactor) {}

    /** What a repeated job may do: nothing bad, nothing while workers remember it, or harm. */
    public enum Idempotency {
        IDEMPOTENT,
        KEYED,
        NON_IDEMPOTENT
    }

    /** The group of workers that drops repeats of a dedup job. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** Whether load reports come with outcomes and probes, with probes only, or not at all. */
    public enum LoadReporting {
        INLINE,
        ON_PROBE,
        OFF
    }
}
