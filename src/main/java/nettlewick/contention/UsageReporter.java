package nettlewick.contention;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Decides when this dispatcher sends usage reports to the holder of a tenant's lease: whenever the holder listens, and
 * unsolicited when the tenant exceeds its quota here while other tenants are harmed. Confined to one thread.
 */
public final class UsageReporter {
    /** A dispatcher reports unsolicited after this many consecutive windows over quota. */
    private static final int MIN_CONSECUTIVE_WINDOWS = 2;

    /** What was reported on one tenant. */
    private static final class TenantReporting {
        /** Counts at the end of the last window; null before the first. */
        private UsageReport lastCounts;

        private double windowEndsAt;
        private UncontendedBaseline baseline = UncontendedBaseline.NONE;
        private boolean unsolicited;
        private int consecutiveOverQuota;
        /** Encoded reports of the last windows, newest first. */
        private final Deque<byte[]> recentReports = new ArrayDeque<>();
        /** The fence of the holder that was sent the last report. */
        private long lastFence = -1;

        private int unsentWindows;
    }

    private final UsageCounters counters;
    private final Map<String, Double> quotas;
    private final Map<Integer, Double> quotaByTenantHash = new HashMap<>();
    private final Map<String, TenantReporting> reportingByTenant = new HashMap<>();

    /**
     * Creates a reporter that has sent nothing yet.
     *
     * @param quotas of all tenants, by name, as fractions
     */
    public UsageReporter(UsageCounters counters, Map<String, Double> quotas) {
        this.counters = counters;
        this.quotas = Map.copyOf(quotas);
        quotas.forEach((name, quota) -> quotaByTenantHash.put(UsageCounters.nameHash(name), quota));
    }

    /**
     * The encoded reports to send now, each in its own datagram: usually none or one. A holder that has not been sent
     * the last windows gets those too, so that evidence survives a change of the holder.
     *
     * @param fence         the holder's fence
     * @param holderListens whether the holder wants reports from all dispatchers
     * @param isolated      other tenants that are confined to dedicated endpoints; asked at the end of a window only
     */
    public List<byte[]> reportsToSend(
            String tenant,
            long fence,
            boolean holderListens,
            double windowMillis,
            double nowMillis,
            Supplier<Set<String>> isolated) {
        TenantReporting reporting = reportingByTenant.computeIfAbsent(tenant, t -> new TenantReporting());
        if (reporting.lastCounts == null || nowMillis >= reporting.windowEndsAt) {
            reporting.windowEndsAt = nowMillis + windowMillis;
            closeWindow(reporting, tenant, isolated.get());
        }
        if (!holderListens && !reporting.unsolicited) {
            return List.of();
        }
        List<byte[]> reports = new ArrayList<>();
        int missing = fence == reporting.lastFence ? reporting.unsentWindows : ContentionEvidence.WINDOWS;
        int age = 0;
        for (byte[] recent : reporting.recentReports) {
            if (++age <= missing) {
                reports.add(UsageReportCodec.withAge(recent, age));
            }
        }
        reports.add(encodedReport(reporting, tenant));
        reporting.lastFence = fence;
        reporting.unsentWindows = 0;
        return reports;
    }

    private void closeWindow(TenantReporting reporting, String tenant, Set<String> isolated) {
        UsageReport counts = counters.fullReport(tenant);
        UsageReport window = reporting.lastCounts == null ? UsageReport.EMPTY : counts.minus(reporting.lastCounts);
        evaluateWindow(reporting, window, tenant, isolated);
        reporting.lastCounts = counts;
        reporting.recentReports.addFirst(encodedReport(reporting, tenant));
        if (reporting.recentReports.size() > ContentionEvidence.WINDOWS) {
            reporting.recentReports.removeLast();
        }
        reporting.unsentWindows = Math.min(ContentionEvidence.WINDOWS, reporting.unsentWindows + 1);
    }

    private byte[] encodedReport(TenantReporting reporting, String tenant) {
        return UsageReportCodec.encode(counters.report(tenant).withBaseline(reporting.baseline, reporting.unsolicited));
    }

    private void evaluateWindow(TenantReporting reporting, UsageReport window, String tenant, Set<String> isolated) {
        double quota = quotas.get(tenant);
        int tenantHash = UsageCounters.nameHash(tenant);
        Set<Integer> isolatedHashes =
                isolated.stream().map(UsageCounters::nameHash).collect(Collectors.toSet());
        reporting.baseline = reporting.baseline.withWindow(window, tenantHash, quota);
        UsageReport.EndpointUsage usage = window.acrossEndpoints();
        // A dispatcher sees so few requests in a window that any small tenant may be over its quota by chance.
        boolean responsible = TenantDemand.isOverQuota(window, tenantHash, quota)
                && TenantDemand.causesMostExcess(window, tenantHash, quotaByTenantHash, isolatedHashes);
        reporting.consecutiveOverQuota = responsible ? reporting.consecutiveOverQuota + 1 : 0;
        reporting.unsolicited = reporting.consecutiveOverQuota >= MIN_CONSECUTIVE_WINDOWS
                && usage.harmedAttempts() > 0
                && usage.harmedAttempts() >= HarmAnalysis.MIN_HARMED_FRACTION * usage.otherAttempts();
    }
}
