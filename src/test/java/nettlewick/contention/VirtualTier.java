package nettlewick.contention;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A tier in virtual time whose dispatchers each see a few jobs in a window, and tell the holder of red's duty. */
public final class VirtualTier {
    private static final int ENDPOINTS = 8;
    private static final long WORK_MILLIS = 50;

    /** What one dispatcher has counted of red since its life began. */
    static final class DispatcherUsage {
        long totalWork;
        long runMillis;
        long hintedMillis;
        final Map<Integer, Long> workByTenant = new HashMap<>();
        final Map<Integer, UsageReport.EndpointUsage> endpoints = new LinkedHashMap<>();
        UsageReport lastReport = UsageReport.EMPTY;
        UncontendedBaseline baseline = UncontendedBaseline.NONE;
        /** What was said at the end of each window, the newest first. */
        final List<byte[]> recentReports = new ArrayList<>();

        /** At the end of a window. */
        UsageReport report(double quota) {
            UsageReport report = new UsageReport(
                    totalWork,
                    new HashMap<>(workByTenant),
                    runMillis,
                    hintedMillis,
                    new LinkedHashMap<>(endpoints),
                    UncontendedBaseline.NONE,
                    false);
            baseline = baseline.withWindow(report.minus(lastReport), UsageCounters.nameHash("red"), quota);
            lastReport = report;
            return report.withBaseline(baseline, false);
        }
    }

    /** Jobs of each member at each dispatcher in a window, the part of others' that is harmed, and how they run. */
    public record Load(Map<String, Double> requestsPerWindow, double harmedFraction, double slowdown) {}

    final SplittableRandom random;
    final List<DispatcherUsage> dispatchers = new ArrayList<>();
    final Map<String, Double> quotas;
    ContentionEvidence evidence;
    /** Members that are in pools of their own. */
    Map<String, java.util.Set<String>> isolated = Map.of();
    /** The part of words that is lost. */
    double lossProbability;

    VirtualTier(int size, Map<String, Double> quotas, long seed) {
        this.quotas = quotas;
        random = new SplittableRandom(seed);
        evidence = new ContentionEvidence("red", quotas);
        for (int d = 0; d < size; d++) {
            dispatchers.add(new DispatcherUsage());
        }
    }

    ContentionEvidence.Finding runWindow(Load load) {
        for (int d = 0; d < dispatchers.size(); d++) {
            DispatcherUsage s = dispatchers.get(d);
            load.requestsPerWindow().forEach((tenant, mean) -> {
                for (int jobs = (int) (mean + random.nextDouble()); jobs > 0; jobs--) {
                    boolean red = tenant.equals("red");
                    s.totalWork += WORK_MILLIS;
                    s.workByTenant.merge(UsageCounters.nameHash(tenant), WORK_MILLIS, Long::sum);
                    s.runMillis += red ? 0 : (long) (WORK_MILLIS * load.slowdown());
                    s.hintedMillis += red ? 0 : WORK_MILLIS;
                    boolean harm = !red && random.nextDouble() < load.harmedFraction();
                    s.endpoints.merge(
                            UsageCounters.nameHash("s" + random.nextInt(ENDPOINTS)),
                            new UsageReport.EndpointUsage(
                                    red ? WORK_MILLIS : 0, WORK_MILLIS, red ? 0 : 1, harm ? 1 : 0),
                            UsageReport.EndpointUsage::plus);
                }
            });
            byte[] report = s.report(quotas.get("red")).encode();
            s.recentReports.add(0, report);
            if (random.nextDouble() >= lossProbability) {
                evidence.recordReport(d, 1, report);
            }
        }
        return evidence.closeWindow(isolated);
    }

    /** A new holder, who has heard nothing; whether it is told what was said in the windows before. */
    void replaceHolder(boolean past) {
        evidence = new ContentionEvidence("red", quotas);
        for (int d = 0; d < dispatchers.size() && past; d++) {
            List<byte[]> words = dispatchers.get(d).recentReports;
            for (int ago = Math.min(ContentionEvidence.WINDOWS, words.size()); ago > 0; ago--) {
                if (random.nextDouble() >= lossProbability) {
                    evidence.recordReport(d, 1, UsageReport.withAge(words.get(ago - 1), ago));
                }
            }
        }
    }

    /** The words of a dispatcher that blames a member for all that is bad, each worse than the one before. */
    public static java.util.function.Supplier<byte[]> blame(String tenant, int endpoints) {
        DispatcherUsage liar = new DispatcherUsage();
        return () -> {
            liar.totalWork += 1_000_000;
            liar.workByTenant.merge(UsageCounters.nameHash(tenant), 1_000_000L, Long::sum);
            for (int r = 0; r < endpoints; r++) {
                liar.endpoints.merge(
                        UsageCounters.nameHash("s" + r),
                        new UsageReport.EndpointUsage(100_000, 100_000, 1000, 900),
                        UsageReport.EndpointUsage::plus);
            }
            return liar.report(0.25)
                    .withBaseline(UncontendedBaseline.NONE, true)
                    .encode();
        };
    }

    /**
     * How often a member that keeps to its share is found noisy in so many windows of bursts of all, slow spells,
     * a dependency that slows everybody, others' floods, and its own up to its share.
     */
    public static int falseMoves(int dispatchers, int windows, long seed) {
        Map<String, Double> quotas = Map.of("red", 0.25, "blue", 0.25, "green", 0.5);
        VirtualTier tier = new VirtualTier(dispatchers, quotas, seed);
        SplittableRandom random = new SplittableRandom(seed + 1);
        int moves = 0;
        Load load = null;
        for (int w = 0; w < windows; w++) {
            if (w % 8 == 0) {
                double much = 0.5 + 3 * random.nextDouble();
                boolean slow = random.nextInt(4) == 0;
                double harmed = random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0.01;
                load = new Load(
                        Map.of(
                                "red",
                                much * (0.2 + 0.8 * random.nextDouble()),
                                "blue",
                                much * (1 + 2 * (random.nextInt(4) == 0 ? random.nextDouble() : 0)),
                                "green",
                                2 * much),
                        harmed,
                        slow ? 3 : 1);
            }
            moves += tier.runWindow(load).causesContention() ? 1 : 0;
        }
        return moves;
    }
}
