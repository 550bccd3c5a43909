package nettlewick.decision;

import nettlewick.decision.SchedulerSettings.Rules;

/** How much a worker that just started is sent, so that all dispatchers together do not push it over. */
final class SlowStartBudget {
    /** Part of a cold worker's allowed load that all dispatchers together aim at. */
    private static final double TARGET_LOAD_SHARE = 0.4;

    /** Part of its slots that a warm worker is taken to be busy with, until its load is measured. */
    private static final double ASSUMED_UTILIZATION = 0.5;
    /** Measures until which that is the least: the first ones see jobs come, but hardly any end. */
    private static final int MIN_MEASUREMENTS = 4;

    /** What it owes where no job has been seen yet. */
    private static final double MIN_INITIAL_DEBT = 0.1;

    private final Rules rules;
    private final int fleetSize;

    SlowStartBudget(Rules rules, int fleetSize) {
        this.rules = rules;
        this.fleetSize = fleetSize;
    }

    /** Seconds of work that a worker first seen owes at most before its first job. */
    static double maxInitialDebt(double meanCost) {
        return Math.max(meanCost, MIN_INITIAL_DEBT);
    }

    boolean isWarmingUp(Endpoint endpoint, long now) {
        return endpoint.entry.startedAt() > 0 && now - endpoint.entry.startedAt() < rules.slowStart();
    }

    /**
     * What a warm worker carries for this dispatcher. Danger: one that has just started has seen nothing
     * carried. While sim runners are released it would take most of them for cold and forbidden, and pile its
     * jobs on the few others.
     */
    private double expectedRate(EndpointPool pool) {
        double guess = ASSUMED_UTILIZATION * Math.max(1, pool.mostFreeSlots) / fleetSize;
        return pool.measurements < MIN_MEASUREMENTS ? Math.max(pool.carriedRate, guess) : pool.carriedRate;
    }

    /** Whether one more job may go there; {@code most} bounds the credit that piles up. */
    boolean admits(Endpoint endpoint, EndpointPool pool, double most, long now) {
        if (!isWarmingUp(endpoint, now)) {
            return true;
        }
        // Danger: all dispatchers find a new worker empty and push it over. Each alone sends it no more than
        // its own part of what warm peers carry, ramped by age; credit never piles up into a burst.
        double age = (double) Math.max(0, now - endpoint.entry.startedAt()) / rules.slowStart();
        double ramp = rules.slowStartShare() + (1 - rules.slowStartShare()) * age;
        double rate = TARGET_LOAD_SHARE * rules.overloadFactor() * expectedRate(pool) * ramp;
        endpoint.slowStartCredit =
                Math.min(endpoint.slowStartCredit + rate * (now - endpoint.slowStartCreditAt) / 1e9, most);
        endpoint.slowStartCreditAt = now;
        return endpoint.slowStartCredit > 0;
    }
}
