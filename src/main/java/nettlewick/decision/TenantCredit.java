package nettlewick.decision;

import java.util.List;

/** A tenant's queue in the deficit round robin, kept virtually: credit instead of waiting jobs. */
final class TenantCredit {
    final double weight;
    double credit;
    double offered;
    double demand;

    TenantCredit(double weight) {
        this.weight = weight;
    }

    /** g(v): what all tenants carry when none gets more than {@code level} for its weight. */
    static double totalCarried(List<TenantCredit> all, double level) {
        return all.stream()
                .mapToDouble(t -> Math.min(t.demand, level * t.weight))
                .sum();
    }

    /** The largest rate for its weight that any tenant gets from the slice. */
    static double fairShare(List<TenantCredit> all, double slice) {
        double high = all.stream().mapToDouble(t -> t.demand / t.weight).max().orElse(0);
        if (totalCarried(all, high) <= slice) {
            return high;
        }
        double low = 0;
        for (int i = 0; i < 40; i++) {
            double middle = (low + high) / 2;
            if (totalCarried(all, middle) < slice) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }
}
