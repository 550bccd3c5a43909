package nettlewick.contention;

import java.util.Map;
import java.util.Set;

/** Compares the fraction of all requested work that a tenant requests with its quota. Stateless. */
final class TenantDemand {
    /** A tenant is over its quota if its demand exceeds this multiple of the quota. */
    private static final double OVER_QUOTA_FACTOR = 1.25;
    /** The minimum fraction of all demand beyond quotas that a tenant must cause to be held responsible for it. */
    private static final double MIN_EXCESS_FRACTION = 0.5;

    private TenantDemand() {}

    /** The tenant's fraction of all requested work; 0 if nothing was requested. */
    static double fraction(UsageReport usage, int tenantHash) {
        return usage.totalWork() <= 0
                ? 0
                : usage.workByTenant().getOrDefault(tenantHash, 0L) / (double) usage.totalWork();
    }

    static boolean isOverQuota(UsageReport usage, int tenantHash, double quota) {
        return fraction(usage, tenantHash) > OVER_QUOTA_FACTOR * quota;
    }

    /**
     * Whether a tenant causes at least half of all demand beyond quotas.
     *
     * @param quotas   of all tenants, by the hash of the tenant's name
     * @param isolated name hashes of tenants whose excess is ignored because they are confined to dedicated endpoints
     */
    static boolean causesMostExcess(
            UsageReport usage, int tenantHash, Map<Integer, Double> quotas, Set<Integer> isolated) {
        double totalExcess = 0;
        for (int other : usage.workByTenant().keySet()) {
            totalExcess += isolated.contains(other)
                    ? 0
                    : Math.max(0, fraction(usage, other) - quotas.getOrDefault(other, 0.0));
        }
        double excess = fraction(usage, tenantHash) - quotas.getOrDefault(tenantHash, 0.0);
        return excess >= MIN_EXCESS_FRACTION * totalExcess;
    }
}
