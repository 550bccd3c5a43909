package nettlewick.contention;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.statistics.distribution.HypergeometricDistribution;

/**
 * What the tier has seen of one member, by windows, and whether its work harms the others' (docs/pools.md).
 * One for each holding of the member's duty. Pure.
 */
public final class ContentionEvidence {
    /** Windows that a verdict looks at, and how many of them have to show a member over its share. */
    static final int WINDOWS = 6;

    private static final int MIN_OVER_QUOTA_WINDOWS = 4;
    /** Over its share by this factor. */
    private static final double OVER_QUOTA_FACTOR = 1.25;
    /** Jobs of others that a comparison needs on each side. */
    private static final int MIN_ATTEMPTS = 20;
    /** How often others may be harmed by chance or at any time, and the level of the test. */
    static final double MIN_HARMED_FRACTION = 0.05;

    private static final double MIN_HARM_RATIO = 2;
    private static final double SIGNIFICANCE_LEVEL = 0.01;
    /** Others' jobs that run so much longer against their hints are slowed by something else. */
    private static final double SLOWDOWN_FACTOR = 1.5;
    /** The part that this member has in all that is asked for beyond shares. */
    private static final double MIN_EXCESS_FRACTION = 0.5;
    /** A life of a dispatcher, with what it had counted by the end of each window. */
    private static final class DispatcherReports {
        long incarnation;
        final TreeMap<Long, UsageReport> byWindow = new TreeMap<>();
    }

    /** What a window, or some of them, came to without one dispatcher. */
    private static final class WindowTotals {
        UsageReport sum = UsageReport.EMPTY;
        int overQuotaWindows;
    }

    /**
     * What a window came to.
     *
     * @param noisy whether the member is to be moved, by all of the last windows
     * @param over  whether it asked for more than its share in this one
     * @param part  its part of all work asked for in this one
     */
    public record Finding(boolean causesContention, boolean overQuota, double demandFraction) {}

    private final int tenantHash;
    private final double quota;
    private final Map<Integer, Double> quotaByTenantHash;
    private final Map<Integer, DispatcherReports> reportsByDispatcher = new HashMap<>();
    /** The number of the window that is open. */
    private long openWindow = WINDOWS;

    private UncontendedBaseline baseline = UncontendedBaseline.NONE;
    private int unsolicitedReports;
    /** Marks of the other members that are apart, and of their runners. */
    private final Set<Integer> isolatedTenantHashes = new HashSet<>();

    private final Set<Integer> isolatedEndpointHashes = new HashSet<>();

    /** @param shares of all members, by name; they add up to one or less */
    public ContentionEvidence(String tenant, Map<String, Double> quotas) {
        this.tenantHash = UsageCounters.nameHash(tenant);
        quota = quotas.getOrDefault(tenant, 0.0);
        this.quotaByTenantHash = new HashMap<>();
        quotas.forEach((name, part) -> this.quotaByTenantHash.put(UsageCounters.nameHash(name), part));
    }

    /**
     * A dispatcher's word; what no version here has written is passed over, and false comes back. A word may
     * tell what was true some windows ago: a new holder is told what the one before it had heard.
     */
    public boolean recordReport(int dispatcher, long incarnation, byte[] data) {
        UsageReport report = UsageReport.decode(data);
        if (report == null || UsageReport.ageWindows(data) < 0 || UsageReport.ageWindows(data) > WINDOWS) {
            return false;
        }
        unsolicitedReports += report.unsolicited() ? 1 : 0;
        DispatcherReports reports = reportsByDispatcher.computeIfAbsent(dispatcher, f -> new DispatcherReports());
        if (reports.incarnation != incarnation) {
            // What a life had seen before it was first heard of belongs to no window.
            reports.incarnation = incarnation;
            reports.byWindow.clear();
        }
        reports.byWindow.merge(openWindow - UsageReport.ageWindows(data), report, UsageReport::maximum);
        return true;
    }

    /**
     * Closes a window and judges.
     *
     * @param apart other members that are in pools of their own, and the sim runners there: what happens
     *              between them harms nobody else, and is no measure of what others' jobs are like
     */
    public Finding closeWindow(Map<String, Set<String>> isolated) {
        isolatedTenantHashes.clear();
        isolatedEndpointHashes.clear();
        isolated.forEach((name, endpoints) -> {
            isolatedTenantHashes.add(UsageCounters.nameHash(name));
            endpoints.forEach(r -> isolatedEndpointHashes.add(UsageCounters.nameHash(r)));
        });
        List<Map<Integer, UsageReport>> windows = new ArrayList<>();
        for (int n = 0; n < WINDOWS; n++) {
            windows.add(new LinkedHashMap<>());
        }
        long firstWindow = openWindow - WINDOWS + 1;
        reportsByDispatcher.forEach((dispatcher, reports) -> {
            reports.byWindow.headMap(firstWindow - 1).clear();
            UsageReport earlier = null;
            for (Map.Entry<Long, UsageReport> e : reports.byWindow.entrySet()) {
                // Danger: a word that came late may say less than one of an older window.
                UsageReport cumulative = earlier == null ? e.getValue() : earlier.maximum(e.getValue());
                if (earlier != null) {
                    windows.get((int) (e.getKey() - firstWindow)).put(dispatcher, cumulative.minus(earlier));
                }
                earlier = cumulative;
            }
        });
        openWindow++;
        UsageReport last = sum(windows.get(WINDOWS - 1), -1);
        boolean overQuota = isOverQuota(last, tenantHash, quota);
        return new Finding(overQuota && causesContention(windows), overQuota, demandFraction(last, tenantHash));
    }

    /** Whether any dispatcher has spoken of its own accord since this was asked last. */
    public boolean takeUnsolicited() {
        boolean any = unsolicitedReports > 0;
        unsolicitedReports = 0;
        return any;
    }

    private static double demandFraction(UsageReport sum, int of) {
        return sum.totalWork() <= 0 ? 0 : sum.workByTenant().getOrDefault(of, 0L) / (double) sum.totalWork();
    }

    static boolean isOverQuota(UsageReport sum, int tenant, double quota) {
        return demandFraction(sum, tenant) > OVER_QUOTA_FACTOR * quota;
    }

    private static UsageReport sum(Map<Integer, UsageReport> window, int excludedDispatcher) {
        UsageReport sum = UsageReport.EMPTY;
        for (Map.Entry<Integer, UsageReport> e : window.entrySet()) {
            sum = e.getKey() == excludedDispatcher ? sum : sum.plus(e.getValue());
        }
        return sum;
    }

    /** Danger: one that lies, or whose links are broken, must not move a member by itself. */
    private boolean causesContention(List<Map<Integer, UsageReport>> windows) {
        if (!isShownWithout(windows, -1)) {
            return false;
        }
        Set<Integer> cumulative = new HashSet<>();
        windows.forEach(w -> cumulative.addAll(w.keySet()));
        return cumulative.size() > 1 && cumulative.stream().allMatch(one -> isShownWithout(windows, one));
    }

    private boolean isShownWithout(List<Map<Integer, UsageReport>> windows, int excludedDispatcher) {
        baseline = UncontendedBaseline.NONE;
        reportsByDispatcher.forEach(
                (dispatcher, reports) -> baseline = dispatcher == excludedDispatcher || reports.byWindow.isEmpty()
                        ? baseline
                        : baseline.plus(reports.byWindow.lastEntry().getValue().baseline()));
        WindowTotals totals = new WindowTotals();
        for (Map<Integer, UsageReport> window : windows) {
            UsageReport sum = sum(window, excludedDispatcher);
            totals.sum = totals.sum.plus(sum);
            totals.overQuotaWindows += isOverQuota(sum, tenantHash, quota) ? 1 : 0;
        }
        return totals.overQuotaWindows >= MIN_OVER_QUOTA_WINDOWS
                && causesMostExcess(totals.sum, tenantHash, quotaByTenantHash, isolatedTenantHashes)
                && isHarmAttributable(totals.sum)
                && !isSlowedOtherwise(totals.sum);
    }

    /**
     * Whether a member asks for so much of what all ask for beyond their shares, those apart left out.
     *
     * @param shares by the marks of names
     */
    static boolean causesMostExcess(UsageReport sum, int tenant, Map<Integer, Double> quotas, Set<Integer> isolated) {
        double beyond = 0;
        for (int other : sum.workByTenant().keySet()) {
            beyond += isolated.contains(other)
                    ? 0
                    : Math.max(0, demandFraction(sum, other) - quotas.getOrDefault(other, 0.0));
        }
        return demandFraction(sum, tenant) - quotas.getOrDefault(tenant, 0.0) >= MIN_EXCESS_FRACTION * beyond;
    }

    private boolean isSlowedOtherwise(UsageReport sum) {
        return baseline.hintedMillis() > 0
                && sum.hintedMillis() > 0
                && sum.runMillis() / (double) sum.hintedMillis()
                        > SLOWDOWN_FACTOR * baseline.runMillis() / baseline.hintedMillis();
    }

    /** Whether others are harmed more often where this member is than where, or when, it is not. */
    private boolean isHarmAttributable(UsageReport sum) {
        long attemptsWith = 0;
        long harmedWith = 0;
        double attemptsWithout = 0;
        double harmedWithout = 0;
        for (Map.Entry<Integer, UsageReport.EndpointUsage> e : sum.endpoints().entrySet()) {
            UsageReport.EndpointUsage a =
                    isolatedEndpointHashes.contains(e.getKey()) ? UsageReport.EndpointUsage.NONE : e.getValue();
            if (a.totalWork() > 0 && a.tenantWork() > quota * a.totalWork()) {
                attemptsWith += a.otherAttempts();
                harmedWith += a.harmedAttempts();
            } else {
                attemptsWithout += a.otherAttempts();
                harmedWithout += a.harmedAttempts();
            }
        }
        if (attemptsWithout < MIN_ATTEMPTS) {
            attemptsWithout = baseline.otherAttempts();
            harmedWithout = baseline.harmedAttempts();
        }
        if (attemptsWith < MIN_ATTEMPTS
                || attemptsWithout < MIN_ATTEMPTS
                || harmedWith < MIN_HARMED_FRACTION * attemptsWith
                || harmedWith / (double) attemptsWith < MIN_HARM_RATIO * harmedWithout / attemptsWithout) {
            return false;
        }
        int restAll = (int) Math.min(Integer.MAX_VALUE / 4, Math.round(attemptsWithout));
        int restHarmed = (int) Math.min(restAll, Math.round(harmedWithout));
        int withAll = (int) Math.min(Integer.MAX_VALUE / 4, attemptsWith);
        int withHarmed = (int) Math.min(withAll, harmedWith);
        // Fisher's exact test, one side: the chance of so many harmed among these, were all alike.
        return HypergeometricDistribution.of(restAll + withAll, restHarmed + withHarmed, withAll)
                        .survivalProbability(withHarmed - 1)
                < SIGNIFICANCE_LEVEL;
    }
}
