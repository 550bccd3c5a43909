package nettlewick.decision;

import java.util.List;

/** The rate of work, in slots, that this dispatcher may accept, and whether that limit binds. */
final class CapacitySlice {
    /** Least slice, in mean requests for each interval. */
    private static final double FLOOR_REQUESTS = 0.1;
    /** What a binding slice may be above the rate it serves, and grows in an interval while it serves all. */
    private static final double GROWTH = 0.1;

    private static final double MAX_CUT = 3 * GROWTH;
    /** The weight of unused capacity in the augmented share. */
    private static final double ALPHA = 1;

    private double rate;
    private double augmentedShare;
    private boolean isBinding;
    /** A slice that bound before anything was accepted would stay at its floor. */
    private boolean isUntried = true;

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

    void setBinding(boolean binds) {
        isBinding = binds;
    }

    /** Whether the slice limits what is accepted: it binds, and something was accepted before. */
    boolean isEnforced() {
        return isBinding && !isUntried;
    }

    /** The least slice, in slots, for requests of this mean cost. */
    static double floor(double meanCost, double seconds) {
        return FLOOR_REQUESTS * meanCost / seconds;
    }

    /** Adjusts the slice to the rates of the interval that has ended. */
    void adjust(ServiceRates rates, double floor) {
        if (!isEnforced()) {
            rate = Math.max(floor, rates.netAcceptedRate());
            isUntried = rates.netAcceptedRate() <= 0;
            return;
        }
        // Capacity changes while slices bind: a slice is cut to what it serves of what it tries, and tries a
        // little more where it serves all.
        boolean servesAll = rates.servedRate() >= (1 - GROWTH) * rates.grossAcceptedRate();
        double cut = Math.max((1 + GROWTH) * rates.servedRate(), (1 - MAX_CUT) * rate);
        rate = Math.max(floor, servesAll ? rate * (1 + GROWTH) : Math.min(rate, cut));
    }

    /** Computes the augmented share from the tenants' demands. */
    void updateAugmentedShare(List<TenantCredit> tenants) {
        double fair = TenantCredit.fairShare(tenants, rate);
        augmentedShare = fair + ALPHA * Math.max(0, rate - TenantCredit.totalCarried(tenants, fair));
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
