package nettlewick.decision;

import java.util.List;

/** The rate of work, in slots, that this dispatcher may accept, and whether that limit binds. */
final class CapacitySlice {
    /** Least slice, in mean requests for each interval. */
    private static final double MIN_REQUESTS_PER_INTERVAL = 0.1;
    /** What a binding slice may be above the rate it serves, and grows in an interval while it serves all. */
    private static final double GROWTH_PER_INTERVAL = 0.1;

    private static final double MAX_CUT_PER_INTERVAL = 3 * GROWTH_PER_INTERVAL;
    /** The weight of unused capacity in the augmented share. */
    private static final double UNUSED_CAPACITY_WEIGHT = 1;

    private double rate;
    private double augmentedShare;
    private boolean isBinding;
    /** A slice that bound before anything was accepted would stay at its floor. */
    private boolean hasAcceptedNothing = true;

    /** The slice in slots. */
    double rate() {
        return rate;
    }

    /** The fair share and the weighted residual: the end of a transfer with the higher one gives. */
    double augmentedShare() {
        return augmentedShare;
    }

    boolean isBinding() {
        return isBinding;
    }

    void setBinding(boolean binding) {
        isBinding = binding;
    }

    /** Whether the slice limits what is accepted: it binds, and something was accepted before. */
    boolean isEnforced() {
        return isBinding && !hasAcceptedNothing;
    }

    /** The least slice, in slots, for requests of this mean cost. */
    static double minRate(double meanCost, double intervalSeconds) {
        return MIN_REQUESTS_PER_INTERVAL * meanCost / intervalSeconds;
    }

    /** Adjusts the slice to the rates of the interval that has ended. */
    void adjust(ServiceRates rates, double minRate) {
        if (!isEnforced()) {
            rate = Math.max(minRate, rates.acceptedRate());
            hasAcceptedNothing = rates.acceptedRate() <= 0;
            return;
        }
        // Capacity changes while slices bind: a slice is cut to what it serves of what it tries, and tries a
        // little more where it serves all.
        boolean servesAll = rates.servedRate() >= (1 - GROWTH_PER_INTERVAL) * rates.triedRate();
        double reducedRate =
                Math.max((1 + GROWTH_PER_INTERVAL) * rates.servedRate(), (1 - MAX_CUT_PER_INTERVAL) * rate);
        rate = Math.max(minRate, servesAll ? rate * (1 + GROWTH_PER_INTERVAL) : Math.min(rate, reducedRate));
    }

    /** Computes the augmented share from the tenants' demands. */
    void updateAugmentedShare(List<TenantCredit> tenants) {
        double fairShare = TenantCredit.fairShare(tenants, rate);
        augmentedShare = fairShare
                + UNUSED_CAPACITY_WEIGHT * Math.max(0, rate - TenantCredit.totalAllocation(tenants, fairShare));
    }

    void credit(double amount) {
        rate += amount;
    }

    void debit(double amount) {
        rate -= amount;
    }

    /** Gives back what was inherited; the slice stays at 0 or above. */
    void returnInherited(double amount) {
        rate = Math.max(0, rate - amount);
    }
}
