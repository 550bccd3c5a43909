package nettlewick.contention;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Collects the usage reports of all dispatchers on one tenant by window and determines whether the tenant's load harms
 * other tenants. A lease holder creates an instance when it acquires the tenant's lease. Confined to one thread.
 */
public final class ContentionEvidence {
    /** The number of most recent windows that a finding is based on. */
    static final int WINDOWS = 6;
    /** In how many of these windows the tenant must be over its quota. */
    private static final int MIN_OVER_QUOTA_WINDOWS = 4;
    /** Excludes no dispatcher. */
    private static final int NO_DISPATCHER = -1;

    /**
     * The result at the end of a window.
     *
     * @param causesContention whether the tenant is to be migrated, according to the last windows taken together
     * @param overQuota        whether it requested more than its quota in this window
     * @param demandFraction   its fraction of all work requested in this window
     */
    public record Finding(boolean causesContention, boolean overQuota, double demandFraction) {}

    private final int tenantHash;
    private final double quota;
    private final Map<Integer, Double> quotaByTenantHash = new HashMap<>();
    private final Map<Integer, DispatcherHistory> historyByDispatcher = new HashMap<>();
    private long openWindow = WINDOWS;
    private int unsolicitedReports;

    /**
     * Creates an instance for one tenant, without any reports.
     *
     * @param quotas of all tenants as fractions, by tenant name; the sum is at most one
     */
    public ContentionEvidence(String tenant, Map<String, Double> quotas) {
        tenantHash = UsageCounters.nameHash(tenant);
        quota = quotas.getOrDefault(tenant, 0.0);
        quotas.forEach((name, fraction) -> quotaByTenantHash.put(UsageCounters.nameHash(name), fraction));
    }

    /**
     * Adds a dispatcher's report. It may describe an earlier window, because dispatchers resend recent windows to a new
     * lease holder.
     *
     * @return false if the data is not a report in a known format, or is too old; such data is ignored
     */
    public boolean recordReport(int dispatcher, long incarnation, byte[] data) {
        UsageReport report = UsageReportCodec.decode(data);
        if (report == null || UsageReportCodec.ageWindows(data) < 0 || UsageReportCodec.ageWindows(data) > WINDOWS) {
            return false;
        }
        unsolicitedReports += report.unsolicited() ? 1 : 0;
        historyByDispatcher
                .computeIfAbsent(dispatcher, d -> new DispatcherHistory())
                .record(incarnation, openWindow - UsageReportCodec.ageWindows(data), report);
        return true;
    }

    /**
     * Closes the open window and evaluates the last windows.
     *
     * @param isolated other tenants that are confined to dedicated endpoints, with the names of these endpoints; load
     *                 there harms no other tenant and is no evidence about the shared endpoints
     */
    public Finding closeWindow(Map<String, Set<String>> isolated) {
        Set<Integer> isolatedTenants = new HashSet<>();
        Set<Integer> isolatedEndpoints = new HashSet<>();
        isolated.forEach((name, endpoints) -> {
            isolatedTenants.add(UsageCounters.nameHash(name));
            endpoints.forEach(endpoint -> isolatedEndpoints.add(UsageCounters.nameHash(endpoint)));
        });
        List<Map<Integer, UsageReport>> windows = recentWindows();
        openWindow++;
        UsageReport last = sum(windows.get(WINDOWS - 1), NO_DISPATCHER);
        boolean overQuota = TenantDemand.isOverQuota(last, tenantHash, quota);
        return new Finding(
                overQuota && causesContention(windows, isolatedTenants, isolatedEndpoints),
                overQuota,
                TenantDemand.fraction(last, tenantHash));
    }

    /** Whether any dispatcher has sent an unsolicited report since the last call. */
    public boolean consumeUnsolicited() {
        boolean any = unsolicitedReports > 0;
        unsolicitedReports = 0;
        return any;
    }

    /** For each of the last windows, oldest first: what each dispatcher counted in it, by dispatcher. */
    private List<Map<Integer, UsageReport>> recentWindows() {
        List<Map<Integer, UsageReport>> windows = new ArrayList<>();
        for (int n = 0; n < WINDOWS; n++) {
            windows.add(new LinkedHashMap<>());
        }
        long firstWindow = openWindow - WINDOWS + 1;
        historyByDispatcher.forEach((dispatcher, history) -> history.forEachWindow(
                firstWindow,
                (window, counts) -> windows.get((int) (window - firstWindow)).put(dispatcher, counts)));
        return windows;
    }

    private static UsageReport sum(Map<Integer, UsageReport> window, int excludedDispatcher) {
        UsageReport sum = UsageReport.EMPTY;
        for (Map.Entry<Integer, UsageReport> entry : window.entrySet()) {
            sum = entry.getKey() == excludedDispatcher ? sum : sum.plus(entry.getValue());
        }
        return sum;
    }

    /**
     * The evidence must hold whichever single dispatcher is excluded, so that one dispatcher with wrong reports or a
     * broken network cannot cause a migration.
     */
    private boolean causesContention(
            List<Map<Integer, UsageReport>> windows, Set<Integer> isolatedTenants, Set<Integer> isolatedEndpoints) {
        if (!isConclusiveWithout(NO_DISPATCHER, windows, isolatedTenants, isolatedEndpoints)) {
            return false;
        }
        Set<Integer> dispatchers = new HashSet<>();
        windows.forEach(window -> dispatchers.addAll(window.keySet()));
        return dispatchers.size() > 1
                && dispatchers.stream()
                        .allMatch(d -> isConclusiveWithout(d, windows, isolatedTenants, isolatedEndpoints));
    }

    private boolean isConclusiveWithout(
            int excludedDispatcher,
            List<Map<Integer, UsageReport>> windows,
            Set<Integer> isolatedTenants,
            Set<Integer> isolatedEndpoints) {
        UsageReport total = UsageReport.EMPTY;
        int overQuotaWindows = 0;
        for (Map<Integer, UsageReport> window : windows) {
            UsageReport sum = sum(window, excludedDispatcher);
            total = total.plus(sum);
            overQuotaWindows += TenantDemand.isOverQuota(sum, tenantHash, quota) ? 1 : 0;
        }
        UncontendedBaseline baseline = baselineWithout(excludedDispatcher);
        return overQuotaWindows >= MIN_OVER_QUOTA_WINDOWS
                && TenantDemand.causesMostExcess(total, tenantHash, quotaByTenantHash, isolatedTenants)
                && HarmAnalysis.isAttributable(total, baseline, quota, isolatedEndpoints)
                && !HarmAnalysis.isSlowedByOtherCause(total, baseline);
    }

    private UncontendedBaseline baselineWithout(int excludedDispatcher) {
        UncontendedBaseline baseline = UncontendedBaseline.NONE;
        for (Map.Entry<Integer, DispatcherHistory> entry : historyByDispatcher.entrySet()) {
            if (entry.getKey() != excludedDispatcher) {
                baseline = baseline.plus(entry.getValue().latestBaseline());
            }
        }
        return baseline;
    }
}
