package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.SchedulerSettings.Tenant;

/** Distributes the credit of the capacity slice among tenants by deficit round robin and detects tenants over quota. */
final class AdmissionController {
    private static final int MAX_DISTRIBUTION_ROUNDS = 3;
    private static final double NEGLIGIBLE_SLOT_SECONDS = 1e-12;
    private static final double MIN_CREDIT_RATE = 1e-9;

    private final SchedulerClock clock;
    private final RequestStatistics statistics;
    private final CapacitySlice slice;
    private final long maxRetryAfterNanos;
    private final Map<String, TenantCredit> byTenant = new HashMap<>();
    private final List<TenantCredit> credits = new ArrayList<>();
    private long lastDistributedAt;

    AdmissionController(SchedulerContext context, RequestStatistics statistics, CapacitySlice slice) {
        SchedulerSettings settings = context.settings();
        this.clock = context.clock();
        this.statistics = statistics;
        this.slice = slice;
        maxRetryAfterNanos = settings.limits().maxRetryAfterNanos();
        double fractions =
                settings.tenants().stream().mapToDouble(Tenant::fraction).sum();
        for (Tenant tenant : settings.tenants()) {
            TenantCredit credit = new TenantCredit(
                    fractions > 0
                            ? tenant.fraction() / fractions
                            : 1.0 / settings.tenants().size());
            byTenant.put(tenant.name(), credit);
            credits.add(credit);
        }
        if (credits.isEmpty()) {
            credits.add(new TenantCredit(1));
        }
    }

    /** Starts accruing credit at the current time. */
    void start() {
        lastDistributedAt = clock.now();
    }

    /** The credit of a tenant; a name that is not in the settings gets the credit of the first tenant. */
    TenantCredit creditOf(String tenant) {
        return byTenant.getOrDefault(tenant, credits.get(0));
    }

    /** The credits of all tenants, in the order of the settings. */
    List<TenantCredit> credits() {
        return credits;
    }

    /** Whether the request's tenant has used up its credit. */
    boolean isOverQuota(ScheduledRequest request) {
        return request.tenantCredit().balance() <= 0;
    }

    /** Distributes the credit accrued since the last call by weight among the tenants below their maximum. */
    void distributeCredit() {
        double remaining = slice.rate() * (clock.now() - lastDistributedAt) / 1e9;
        lastDistributedAt = clock.now();
        for (int round = 0; round < MAX_DISTRIBUTION_ROUNDS && remaining > NEGLIGIBLE_SLOT_SECONDS; round++) {
            double totalWeight = totalWeightBelowMaximum();
            if (totalWeight <= 0) {
                return;
            }
            remaining -= distributeOnce(remaining, totalWeight);
        }
        if (!slice.isEnforced()) {
            credits.forEach(tenant -> tenant.raiseTo(maxBalance(tenant) / 2));
        }
    }

    private double totalWeightBelowMaximum() {
        double totalWeight = 0;
        for (TenantCredit tenant : credits) {
            totalWeight += tenant.balance() < maxBalance(tenant) ? tenant.weight() : 0;
        }
        return totalWeight;
    }

    private double distributeOnce(double available, double totalWeight) {
        double distributed = 0;
        for (TenantCredit tenant : credits) {
            if (tenant.balance() < maxBalance(tenant)) {
                double amount =
                        Math.min(maxBalance(tenant) - tenant.balance(), available * tenant.weight() / totalWeight);
                tenant.add(amount);
                distributed += amount;
            }
        }
        return distributed;
    }

    /** The maximum credit that a tenant may accumulate, in slot-seconds. */
    private double maxBalance(TenantCredit tenant) {
        return Math.max(
                2 * statistics.meanCost(),
                slice.rate() * tenant.weight() * SchedulerTimings.SHARE_INTERVAL_NANOS / 2e9);
    }

    /** Updates the demand of each tenant for the interval that ends now. */
    void closeInterval(double seconds) {
        credits.forEach(tenant -> tenant.closeInterval(seconds));
    }

    /** Estimates the nanoseconds until the request's tenant has credit for a request of mean cost. */
    long retryAfter(ScheduledRequest request) {
        TenantCredit tenant = request.tenantCredit();
        double creditRate = Math.max(slice.rate() * tenant.weight(), MIN_CREDIT_RATE);
        double waitNanos = (statistics.meanCost() - tenant.balance()) / creditRate * 1e9;
        return (long) Math.min(maxRetryAfterNanos, Math.max(SchedulerTimings.SHARE_INTERVAL_NANOS, waitNanos));
    }
}
