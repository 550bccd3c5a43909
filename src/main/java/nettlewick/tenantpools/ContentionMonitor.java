package nettlewick.tenantpools;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import nettlewick.contention.ContentionEvidence;

/**
 * What the holder of a tenant's lease has learnt from usage reports: evidence of contention, recent demand, and whether
 * it listens to all dispatchers. One for each time the lease is held. Confined to the lease thread.
 */
final class ContentionMonitor {
    /** Demand counts as gone only after this many windows with less. */
    private static final int DEMAND_WINDOWS = 10;
    /** How many windows all dispatchers are listened to after an unsolicited report. */
    private static final int REPORT_REQUEST_WINDOWS = 10;

    private final ContentionEvidence evidence;
    private final ArrayDeque<Double> recentDemand = new ArrayDeque<>();
    private double windowEndsAt;
    private int remainingRequestWindows;

    ContentionMonitor(String tenant, Map<String, Double> quotas, double windowEndsAt) {
        evidence = new ContentionEvidence(tenant, quotas);
        this.windowEndsAt = windowEndsAt;
    }

    /** Adds a report; false if it cannot be read. */
    boolean recordReport(int dispatcher, long incarnation, byte[] report) {
        return evidence.recordReport(dispatcher, incarnation, report);
    }

    /**
     * Starts or extends listening if an unsolicited report has come. It takes effect at once, so that the other
     * dispatchers' reports on the last windows arrive before the open one ends.
     *
     * @return whether listening has started
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

    /** The verdict if the window is over, else null. */
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
