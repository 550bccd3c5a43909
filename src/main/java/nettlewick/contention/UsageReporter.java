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
 * Decides when this dispatcher sends usage reports to the holder of a tenant's lease: while the holder requests
 * reports, and unsolicited while the tenant exceeds its quota here and other tenants are harmed. Confined to one
 * thread.
 */
public final class UsageReporter {
    /** Unsolicited reports are sent after this many consecutive windows over quota. */
    private static final int MIN_CONSECUTIVE_WINDOWS = 2;

    /** The state of reporting on one tenant. */
    private static final class TenantReportState {
        /** Counts at the end of the last window; null before the end of the first. */
        private UsageReport lastCounts;

        private double windowEndsAt;
        private UncontendedBaseline baseline = UncontendedBaseline.NONE;
        private boolean unsolicited;
        private int consecutiveOverQuota;
        /** Encoded reports on the last windows, newest first. */
        private final Deque<byte[]> recentReports = new ArrayDeque<>();
        /** The fence of the lease holder that the last report was sent to. */
        private long lastFence = -1;

        private int unsentWindows;
    }

    private final UsageCounters counters;
    private final Map<String, Double> quotas;
    private final Map<Integer, Double> quotaByTenantHash = new HashMap<>();
    private final Map<String, TenantReportState> reportStateByTenant = new HashMap<>();

    /**
     * Creates a reporter.
     *
     * @param quotas quotas of all tenants as fractions, by tenant name
     */
    public UsageReporter(UsageCounters counters, Map<String, Double> quotas) {
        this.counters = counters;
        this.quotas = Map.copyOf(quotas);
        quotas.forEach((name, quota) -> quotaByTenantHash.put(UsageCounters.nameHash(name), quota));
    }

    /**
     * Returns the encoded reports to send now, each in its own datagram: usually none or one. Reports on recent windows
     * that this holder has not been sent yet are included, so that evidence survives a change of the holder.
     *
     * @param fence                 the holder's fence
     * @param holderRequestsReports whether the holder requests reports from all dispatchers
     * @param isolatedTenants       supplies the other tenants that are confined to dedicated endpoints; called only at
     *                              the end of a window
     */
    public List<byte[]> reportsToSend(
            String tenant,
            long fence,
            boolean holderRequestsReports,
            double windowMillis,
            double nowMillis,
            Supplier<Set<String>> isolatedTenants) {
        TenantReportState reportState = reportStateByTenant.computeIfAbsent(tenant, t -> new TenantReportState());
        if (reportState.lastCounts == null || nowMillis >= reportState.windowEndsAt) {
            reportState.windowEndsAt = nowMillis + windowMillis;
            closeWindow(reportState, tenant, isolatedTenants.get());
        }
        if (!holderRequestsReports && !reportState.unsolicited) {
            return List.of();
        }
        List<byte[]> reports = new ArrayList<>();
        int missingWindows = fence == reportState.lastFence ? reportState.unsentWindows : ContentionEvidence.WINDOWS;
        int age = 0;
        for (byte[] recent : reportState.recentReports) {
            if (++age <= missingWindows) {
                reports.add(UsageReportCodec.withAge(recent, age));
            }
        }
        reports.add(encodedReport(reportState, tenant));
        reportState.lastFence = fence;
        reportState.unsentWindows = 0;
        return reports;
    }

    private void closeWindow(TenantReportState reportState, String tenant, Set<String> isolatedTenants) {
        UsageReport counts = counters.fullReport(tenant);
        UsageReport window = reportState.lastCounts == null ? UsageReport.EMPTY : counts.minus(reportState.lastCounts);
        evaluateWindow(reportState, window, tenant, isolatedTenants);
        reportState.lastCounts = counts;
        reportState.recentReports.addFirst(encodedReport(reportState, tenant));
        if (reportState.recentReports.size() > ContentionEvidence.WINDOWS) {
            reportState.recentReports.removeLast();
        }
        reportState.unsentWindows = Math.min(ContentionEvidence.WINDOWS, reportState.unsentWindows + 1);
    }

    private byte[] encodedReport(TenantReportState reportState, String tenant) {
        return UsageReportCodec.encode(
                counters.report(tenant).withBaseline(reportState.baseline, reportState.unsolicited));
    }

    private void evaluateWindow(
            TenantReportState reportState, UsageReport window, String tenant, Set<String> isolatedTenants) {
        double quota = quotas.get(tenant);
        int tenantHash = UsageCounters.nameHash(tenant);
        Set<Integer> isolatedHashes =
                isolatedTenants.stream().map(UsageCounters::nameHash).collect(Collectors.toSet());
        reportState.baseline = reportState.baseline.withWindow(window, tenantHash, quota);
        UsageReport.EndpointUsage usage = window.acrossEndpoints();
        // One dispatcher sees so few requests in a window that a small tenant can exceed its quota by chance.
        boolean responsible = TenantDemand.isOverQuota(window, tenantHash, quota)
                && TenantDemand.causesMostExcess(window, tenantHash, quotaByTenantHash, isolatedHashes);
        reportState.consecutiveOverQuota = responsible ? reportState.consecutiveOverQuota + 1 : 0;
        reportState.unsolicited = reportState.consecutiveOverQuota >= MIN_CONSECUTIVE_WINDOWS
                && usage.harmedAttempts() > 0
                && usage.harmedAttempts() >= HarmAnalysis.MIN_HARMED_FRACTION * usage.otherAttempts();
    }
}
