package nettlewick.tenantpools;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import nettlewick.contention.ContentionEvidence;

/**
 * What the holder of a tenant's lease derives from usage reports: evidence of contention, recent demand, and whether it
 * requests reports from all dispatchers. An instance is created each time the lease is acquired. Confined to the lease
 * thread.
 */
final class ContentionMonitor {
    /** The demand is the maximum over this many windows, so that it drops only after all of them were lower. */
    private static final int DEMAND_WINDOWS = 10;
    /** For how many windows reports are requested from all dispatchers after an unsolicited report. */
    private static final int REPORT_REQUEST_WINDOWS = 10;

    private final ContentionEvidence evidence;
    private final ArrayDeque<Double> recentDemand = new ArrayDeque<>();
    private double windowEndsAt;
    private int remainingRequestWindows;

    ContentionMonitor(String tenant, Map<String, Double> quotas, double windowEndsAt) {
        evidence = new ContentionEvidence(tenant, quotas);
        this.windowEndsAt = windowEndsAt;
    }

    /** Adds a report; returns false if it cannot be decoded. */
    boolean recordReport(int dispatcher, long incarnation, byte[] report) {
        return evidence.recordReport(dispatcher, incarnation, report);
    }

    /**
     * Requests reports from all dispatchers, or continues to for longer, if an unsolicited report has arrived. This
     * takes effect immediately, so that the other dispatchers' reports on the last windows arrive before the open
     * window ends.
     *
     * @return whether reports were not being requested before
     */
    boolean requestReportsIfUnsolicited() {
        if (!evidence.consumeUnsolicited()) {
            return false;
        }
        boolean started = remainingRequestWindows == 0;
        remainingRequestWindows = REPORT_REQUEST_WINDOWS;
        return started;
    }

    boolean requestsReports() {
        return remainingRequestWindows > 0;
    }

    /** Closes the window if it is over and returns the finding, otherwise returns null. */
    ContentionEvidence.Finding closeWindowIfDue(
            double nowMillis, double windowMillis, Supplier<Map<String, Set<String>>> isolatedTenants) {
        if (nowMillis < windowEndsAt) {
            return null;
        }
        windowEndsAt = nowMillis + windowMillis;
        ContentionEvidence.Finding finding = evidence.closeWindow(isolatedTenants.get());
        remainingRequestWindows = Math.max(0, remainingRequestWindows - 1);
        recentDemand.add(finding.demandFraction());
        if (recentDemand.size() > DEMAND_WINDOWS) {
            recentDemand.remove();
        }
        return finding;
    }

    /** The tenant's highest fraction of all demand in recent windows; negative before the first window has ended. */
    double peakDemandFraction() {
        return recentDemand.stream().mapToDouble(fraction -> fraction).max().orElse(-1);
    }
}
