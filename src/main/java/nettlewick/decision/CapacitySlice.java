package nettlewick.decision;

import java.util.List;

/** The rate of work, in slots, that this dispatcher may admit, and whether that limit is binding. */
final class CapacitySlice {
    /** The minimum slice, in requests of mean cost for each interval. */
    private static final double MIN_REQUESTS_PER_INTERVAL = 0.1;
    /** Headroom of a binding slice over its served rate, and its growth in an interval in which it serves all. */
    private static final double GROWTH_PER_INTERVAL = 0.1;

    private static final double MAX_CUT_PER_INTERVAL = 3 * GROWTH_PER_INTERVAL;
    /** The weight of unused capacity in the augmented share, alpha. */
    private static final double UNUSED_CAPACITY_WEIGHT = 1;

    private double rate;
    private double augmentedShare;
    private boolean isBinding;
    /** A slice enforced before anything was accepted would stay at its minimum. */
    private boolean hasAcceptedNothing = true;

    /** The slice in slots. */
    double rate() {
        return rate;
    }

    /** The fair share plus the weighted unused capacity; of two dispatchers, the one with the higher value gives. */
    double augmentedShare() {
        return augmentedShare;
    }

    boolean isBinding() {
        return isBinding;
    }

    void setBinding(boolean binding) {
        isBinding = binding;
    }

    /** Whether the slice limits admission: it is binding, and something was accepted before. */
    boolean isEnforced() {
        return isBinding && !hasAcceptedNothing;
    }

    /** The minimum slice, in slots, for requests of this mean cost. */
    static double minRate(double meanCost, double intervalSeconds) {
        return MIN_REQUESTS_PER_INTERVAL * meanCost / intervalSeconds;
    }

    /** Adjusts the slice to the rates of the interval that just ended. */
    void adjust(ServiceRates rates, double minRate) {
        if (!isEnforced()) {
            rate = Math.max(minRate, rates.netAcceptedRate());
            hasAcceptedNothing = rates.netAcceptedRate() <= 0;
            return;
        }
        // Capacity can change while slices are binding: a slice that serves all that it accepts is raised a little,
        // and any other is cut towards its served rate.
        boolean servesAll = rates.servedRate() >= (1 - GROWTH_PER_INTERVAL) * rates.grossAcceptedRate();
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

    /** Returns inherited capacity; the slice does not fall below 0. */
    void returnInherited(double amount) {
        rate = Math.max(0, rate - amount);
    }
}
