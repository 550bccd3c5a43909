package nettlewick.decision;

import java.util.List;

/** A tenant's credit and demand in the deficit round robin; a virtual queue, which holds no requests. */
final class TenantCredit {
    private static final int BISECTION_STEPS = 40;

    private final double weight;
    private double balance;
    private double offered;
    private double demand;

    TenantCredit(double weight) {
        this.weight = weight;
    }

    /** The tenant's fraction of the slice, in [0, 1]. */
    double weight() {
        return weight;
    }

    /** Credit in slot-seconds; negative after a request that cost more than the remaining credit. */
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

    /** Adds a request to the tenant's demand. */
    void recordOffered(double slotSeconds) {
        offered += slotSeconds;
    }

    /** Updates the smoothed demand with the interval that ends now. */
    void closeInterval(double seconds) {
        demand += (offered / seconds - demand) / 2;
        offered = 0;
    }

    /** The total rate of all tenants if none gets more than {@code ratePerWeight} times its weight. */
    static double totalAllocation(List<TenantCredit> tenants, double ratePerWeight) {
        return tenants.stream()
                .mapToDouble(tenant -> Math.min(tenant.demand, ratePerWeight * tenant.weight))
                .sum();
    }

    /** The max-min fair rate per weight: the highest that any tenant gets from the slice. */
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
