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
 * What is told to the holders of members' duties, and when it is worth a word: where a member asks for more
 * than its share here while others are harmed, and wherever its holder listens. Not to be shared by threads.
 */
public final class UsageReporter {
    /** A dispatcher speaks of its own accord after so many windows in a row. */
    private static final int MIN_CONSECUTIVE_WINDOWS = 2;

    private static final class TenantReporting {
        UsageReport lastReport;
        double windowEndsAt;
        UncontendedBaseline baseline = UncontendedBaseline.NONE;
        boolean unsolicited;
        /** Windows in a row in which the member was over its share here. */
        int consecutiveOverQuota;
        /** What there was to say at the end of each of the last windows, the newest first. */
        final Deque<byte[]> recentReports = new ArrayDeque<>();
        /** The fence under which it was spoken last, and how many windows have ended since. */
        long lastFence = -1;

        int unsentWindows;
    }

    private final UsageCounters counters;
    private final Map<String, Double> quotas;
    private final Map<Integer, Double> quotaByTenantHash = new HashMap<>();
    private final Map<String, TenantReporting> reportingByTenant = new HashMap<>();

    public UsageReporter(UsageCounters counters, Map<String, Double> quotas) {
        this.counters = counters;
        this.quotas = Map.copyOf(quotas);
        quotas.forEach((name, part) -> quotaByTenantHash.put(UsageCounters.nameHash(name), part));
    }

    /**
     * The words to send now, each its own datagram: mostly none or one, and to a holder that has not heard
     * the last windows those too, so that what was seen does not end with the holder before it.
     *
     * @param fence   the holder's
     * @param listens whether the holder wants words from all
     * @param window  how long what was seen is put together, in milliseconds
     * @param apart   other members that are in pools of their own; asked for at a window's end only
     */
    public List<byte[]> reportsToSend(
            String tenant,
            long fence,
            boolean holderListens,
            double windowMillis,
            double nowMillis,
            Supplier<Set<String>> isolated) {
        TenantReporting reporting = reportingByTenant.computeIfAbsent(tenant, m -> new TenantReporting());
        if (reporting.lastReport == null || nowMillis >= reporting.windowEndsAt) {
            reporting.windowEndsAt = nowMillis + windowMillis;
            UsageReport current = counters.fullReport(tenant);
            evaluateWindow(
                    reporting,
                    reporting.lastReport == null ? UsageReport.EMPTY : current.minus(reporting.lastReport),
                    tenant,
                    isolated.get());
            reporting.lastReport = current;
            reporting.recentReports.addFirst(encodedReport(reporting, tenant));
            if (reporting.recentReports.size() > ContentionEvidence.WINDOWS) {
                reporting.recentReports.removeLast();
            }
            reporting.unsentWindows = Math.min(ContentionEvidence.WINDOWS, reporting.unsentWindows + 1);
        }
        if (!holderListens && !reporting.unsolicited) {
            return List.of();
        }
        List<byte[]> reports = new ArrayList<>();
        int age = 0;
        int missing = fence == reporting.lastFence ? reporting.unsentWindows : ContentionEvidence.WINDOWS;
        for (byte[] old : reporting.recentReports) {
            if (++age <= missing) {
                reports.add(UsageReport.withAge(old, age));
            }
        }
        reports.add(encodedReport(reporting, tenant));
        reporting.lastFence = fence;
        reporting.unsentWindows = 0;
        return reports;
    }

    private byte[] encodedReport(TenantReporting reporting, String tenant) {
        return counters.report(tenant)
                .withBaseline(reporting.baseline, reporting.unsolicited)
                .encode();
    }

    private void evaluateWindow(TenantReporting reporting, UsageReport window, String tenant, Set<String> isolated) {
        double quota = quotas.get(tenant);
        int nameHash = UsageCounters.nameHash(tenant);
        Set<Integer> isolatedHashes =
                isolated.stream().map(UsageCounters::nameHash).collect(Collectors.toSet());
        reporting.baseline = reporting.baseline.withWindow(window, UsageCounters.nameHash(tenant), quota);
        UsageReport.EndpointUsage current = window.acrossEndpoints();
        // Danger: one that sees a few jobs in a window finds every small member over its share now and then.
        boolean causesMost = ContentionEvidence.isOverQuota(window, nameHash, quota)
                && ContentionEvidence.causesMostExcess(window, nameHash, quotaByTenantHash, isolatedHashes);
        reporting.consecutiveOverQuota = causesMost ? reporting.consecutiveOverQuota + 1 : 0;
        reporting.unsolicited = reporting.consecutiveOverQuota >= MIN_CONSECUTIVE_WINDOWS
                && current.harmedAttempts() > 0
                && current.harmedAttempts() >= ContentionEvidence.MIN_HARMED_FRACTION * current.otherAttempts();
    }
}
