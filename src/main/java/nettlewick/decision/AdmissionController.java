package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.SchedulerSettings.Tenant;

/** Deals the slice's credit to tenants by deficit round robin and says which requests have any. */
final class AdmissionController {
    private static final int DEALING_ROUNDS = 3;
    private static final double NEGLIGIBLE_CREDIT = 1e-12;
    private static final double MIN_RATE = 1e-9;

    private final SchedulerClock clock;
    private final RequestStatistics statistics;
    private final CapacitySlice slice;
    private final long maxRetryAfterNanos;
    private final Map<String, TenantCredit> byTenant = new HashMap<>();
    private final List<TenantCredit> all = new ArrayList<>();
    private long dealtAt;

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
            all.add(credit);
        }
        if (all.isEmpty()) {
            all.add(new TenantCredit(1));
        }
    }

    /** Credit accrues from now on. */
    void start() {
        dealtAt = clock.now();
    }

    /** The credit of a tenant; of the first one for a name that the settings don't hold. */
    TenantCredit creditOf(String tenant) {
        return byTenant.getOrDefault(tenant, all.get(0));
    }

    /** All tenants' credits, in the order of the settings. */
    List<TenantCredit> credits() {
        return all;
    }

    /** Whether the request's tenant has used up its credit. */
    boolean isOverQuota(ScheduledRequest request) {
        return request.tenantCredit().balance() <= 0;
    }

    /** Deals out the credit earned since the last call by the tenants' weights; others take what a full one leaves. */
    void dealCredit() {
        double undealt = slice.rate() * (clock.now() - dealtAt) / 1e9;
        dealtAt = clock.now();
        for (int round = 0; round < DEALING_ROUNDS && undealt > NEGLIGIBLE_CREDIT; round++) {
            double weights = weightsBelowDepth();
            if (weights <= 0) {
                return;
            }
            undealt -= dealRound(undealt, weights);
        }
        if (!slice.isEnforced()) {
            all.forEach(tenant -> tenant.raiseTo(depth(tenant) / 2));
        }
    }

    private double weightsBelowDepth() {
        double weights = 0;
        for (TenantCredit tenant : all) {
            weights += tenant.balance() < depth(tenant) ? tenant.weight() : 0;
        }
        return weights;
    }

    private double dealRound(double undealt, double weights) {
        double dealt = 0;
        for (TenantCredit tenant : all) {
            if (tenant.balance() < depth(tenant)) {
                double part = Math.min(depth(tenant) - tenant.balance(), undealt * tenant.weight() / weights);
                tenant.add(part);
                dealt += part;
            }
        }
        return dealt;
    }

    /** The most credit that a tenant may save up, in slot-seconds. */
    private double depth(TenantCredit tenant) {
        return Math.max(
                2 * statistics.meanCost(),
                slice.rate() * tenant.weight() * SchedulerTimings.SHARE_INTERVAL_NANOS / 2e9);
    }

    /** Measures the tenants' demands over the interval that ends now. */
    void closeInterval(double seconds) {
        all.forEach(tenant -> tenant.closeInterval(seconds));
    }

    /** Nanoseconds until the request's tenant is expected to have credit for a mean request. */
    long retryAfter(ScheduledRequest request) {
        TenantCredit tenant = request.tenantCredit();
        double rate = Math.max(slice.rate() * tenant.weight(), MIN_RATE);
        double wait = (statistics.meanCost() - tenant.balance()) / rate * 1e9;
        return (long) Math.min(maxRetryAfterNanos, Math.max(SchedulerTimings.SHARE_INTERVAL_NANOS, wait));
    }
}
