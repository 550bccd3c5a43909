package nettlewick.decision;

import nettlewick.decision.SchedulerSettings.Rules;

/** Limits the work sent to an endpoint in slow start, so that all dispatchers together don't overload it. */
final class SlowStartBudget {
    /** Share of a warming endpoint's permitted load that all dispatchers together aim for. */
    private static final double TARGET_LOAD_SHARE = 0.4;

    /** Utilization assumed for a warm endpoint until its load has been measured. */
    private static final double ASSUMED_UTILIZATION = 0.5;
    /** Intervals during which that is the minimum: in the first ones requests arrive, but hardly any complete. */
    private static final int MIN_MEASUREMENTS = 4;

    /** Lower limit of {@link #maxInitialDebt}, in slot-seconds; applies while no request cost is known. */
    private static final double MIN_INITIAL_DEBT = 0.1;

    private final Rules rules;
    private final int fleetSize;

    SlowStartBudget(Rules rules, int fleetSize) {
        this.rules = rules;
        this.fleetSize = fleetSize;
    }

    /** Largest debt, in slot-seconds, that must accrue before a newly listed endpoint is sent its first request. */
    static double maxInitialDebt(double meanCost) {
        return Math.max(meanCost, MIN_INITIAL_DEBT);
    }

    boolean isWarmingUp(Endpoint endpoint, long now) {
        long startedAt = endpoint.entry().startedAt();
        return startedAt > 0 && now - startedAt < rules.slowStartNanos();
    }

    /**
     * The rate that a warm endpoint serves for this dispatcher. A dispatcher that has just started has no measurements
     * and would otherwise, during a rolling update of the endpoints, avoid the new ones and overload the others.
     */
    private double expectedRate(EndpointKindStats stats) {
        double assumed = ASSUMED_UTILIZATION * Math.max(1, stats.maxFreeSlots()) / fleetSize;
        return stats.measurements() < MIN_MEASUREMENTS
                ? Math.max(stats.servedRatePerEndpoint(), assumed)
                : stats.servedRatePerEndpoint();
    }

    /**
     * Whether one more request may be sent to the endpoint. Each dispatcher limits itself to the rate that warm
     * endpoints of the kind serve for it, scaled by the target load and by a ramp over the endpoint's age. Unused
     * credit accumulates up to {@code maxCredit} slot-seconds, which bounds bursts.
     */
    boolean admits(Endpoint endpoint, EndpointKindStats stats, double maxCredit, long now) {
        if (!isWarmingUp(endpoint, now)) {
            return true;
        }
        double age = (double) Math.max(0, now - endpoint.entry().startedAt()) / rules.slowStartNanos();
        double ramp = rules.slowStartShare() + (1 - rules.slowStartShare()) * age;
        double rate = TARGET_LOAD_SHARE * rules.overloadFactor() * expectedRate(stats) * ramp;
        endpoint.slowStartCredit().accrue(rate, maxCredit, now);
        return endpoint.slowStartCredit().isPositive();
    }
}
