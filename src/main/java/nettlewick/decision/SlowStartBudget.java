package nettlewick.decision;

import nettlewick.decision.SchedulerSettings.Rules;

/** How much an endpoint that has just started is sent, so that all dispatchers together don't overload it. */
final class SlowStartBudget {
    /** Part of a warming endpoint's allowed load that all dispatchers together aim at. */
    private static final double TARGET_LOAD_SHARE = 0.4;

    /** Part of its slots that a warm endpoint is taken to be busy with, until its load is measured. */
    private static final double ASSUMED_UTILIZATION = 0.5;
    /** Intervals until which that is the least: in the first ones requests arrive, but hardly any end. */
    private static final int MIN_MEASUREMENTS = 4;

    /** Slot-seconds owed where no request has been seen yet. */
    private static final double MIN_INITIAL_DEBT = 0.1;

    private final Rules rules;
    private final int fleetSize;

    SlowStartBudget(Rules rules, int fleetSize) {
        this.rules = rules;
        this.fleetSize = fleetSize;
    }

    /** Slot-seconds that an endpoint first seen owes at most before its first request. */
    static double maxInitialDebt(double meanCost) {
        return Math.max(meanCost, MIN_INITIAL_DEBT);
    }

    boolean isWarmingUp(Endpoint endpoint, long now) {
        long startedAt = endpoint.entry().startedAt();
        return startedAt > 0 && now - startedAt < rules.slowStartNanos();
    }

    /**
     * What a warm endpoint carries for this dispatcher. A dispatcher that has just started has measured
     * nothing; during a release of the endpoints it would leave the new ones alone and overload the others.
     */
    private double expectedRate(EndpointKindStats stats) {
        double assumed = ASSUMED_UTILIZATION * Math.max(1, stats.maxFreeSlots()) / fleetSize;
        return stats.measurements() < MIN_MEASUREMENTS
                ? Math.max(stats.servedRatePerEndpoint(), assumed)
                : stats.servedRatePerEndpoint();
    }

    /**
     * Whether one more request may go there. Each dispatcher sends its own part of what warm endpoints of the
     * kind carry, ramped by age; {@code maxCredit} slot-seconds bound what piles up into a burst.
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
