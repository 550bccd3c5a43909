package nettlewick.decision;

import java.util.List;

/** A tenant's queue in the deficit round robin, kept virtually: credit in place of waiting requests. */
final class TenantCredit {
    private static final int BISECTION_STEPS = 40;

    private final double weight;
    private double balance;
    private double offered;
    private double demand;

    TenantCredit(double weight) {
        this.weight = weight;
    }

    /** The tenant's part of the slice, in [0, 1]. */
    double weight() {
        return weight;
    }

    /** Credit in slot-seconds; below 0 after a request that cost more than was left. */
    double balance() {
        return balance;
    }

    void add(double slotSeconds) {
        balance += slotSeconds;
    }

    void spend(double slotSeconds) {
        balance -= slotSeconds;
    }

    void raiseTo(double slotSeconds) {
        balance = Math.max(balance, slotSeconds);
    }

    /** Counts a request towards the tenant's demand. */
    void recordOffered(double slotSeconds) {
        offered += slotSeconds;
    }

    /** Smooths the demand over the interval that ends now. */
    void closeInterval(double seconds) {
        demand += (offered / seconds - demand) / 2;
        offered = 0;
    }

    /** What all tenants carry together when none gets more than {@code level} for its weight. */
    static double totalAllocation(List<TenantCredit> tenants, double ratePerWeight) {
        return tenants.stream()
                .mapToDouble(tenant -> Math.min(tenant.demand, ratePerWeight * tenant.weight))
                .sum();
    }

    /** The largest rate for its weight that any tenant gets from the slice. */
    static double fairShare(List<TenantCredit> tenants, double sliceRate) {
        double high = tenants.stream()
                .mapToDouble(tenant -> tenant.demand / tenant.weight)
                .max()
                .orElse(0);
        if (totalAllocation(tenants, high) <= sliceRate) {
            return high;
        }
        double low = 0;
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double middle = (low + high) / 2;
            if (totalAllocation(tenants, middle) < sliceRate) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }
}
