package nettlewick.contention;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/** Dispatchers in virtual time that each see a few requests in a window and report to the holder of red's lease. */
public final class SimulatedDispatchers {
    private static final int ENDPOINTS = 8;
    private static final long WORK_MILLIS = 50;

    /** What one dispatcher has counted, as seen from red, since its incarnation began. */
    static final class DispatcherUsage {
        long totalWork;
        long runMillis;
        long hintedMillis;
        final Map<Integer, Long> workByTenant = new HashMap<>();
        final Map<Integer, UsageReport.EndpointUsage> endpoints = new LinkedHashMap<>();
        UsageReport lastReport = UsageReport.EMPTY;
        UncontendedBaseline baseline = UncontendedBaseline.NONE;
        /** The encoded report at the end of each window, newest first. */
        final List<byte[]> recentReports = new ArrayList<>();

        /** The report at the end of a window. */
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

    /**
     * The load of one window.
     *
     * @param requestsPerWindow mean requests of each tenant at each dispatcher
     * @param harmedFraction    of other tenants' attempts
     * @param slowdown          how many times longer than hinted requests run
     */
    public record Load(Map<String, Double> requestsPerWindow, double harmedFraction, double slowdown) {}

    final SplittableRandom random;
    final List<DispatcherUsage> dispatchers = new ArrayList<>();
    final Map<String, Double> quotas;
    ContentionEvidence evidence;
    /** Tenants that are confined to dedicated endpoints, with those endpoints. */
    Map<String, Set<String>> isolated = Map.of();
    /** Probability that a report is lost. */
    double lossProbability;

    SimulatedDispatchers(int size, Map<String, Double> quotas, long seed) {
        this.quotas = quotas;
        random = new SplittableRandom(seed);
        evidence = new ContentionEvidence("red", quotas);
        for (int d = 0; d < size; d++) {
            dispatchers.add(new DispatcherUsage());
        }
    }

    ContentionEvidence.Finding runWindow(Load load) {
        for (int d = 0; d < dispatchers.size(); d++) {
            DispatcherUsage usage = dispatchers.get(d);
            load.requestsPerWindow().forEach((tenant, mean) -> {
                for (int remaining = (int) (mean + random.nextDouble()); remaining > 0; remaining--) {
                    boolean red = tenant.equals("red");
                    usage.totalWork += WORK_MILLIS;
                    usage.workByTenant.merge(UsageCounters.nameHash(tenant), WORK_MILLIS, Long::sum);
                    usage.runMillis += red ? 0 : (long) (WORK_MILLIS * load.slowdown());
                    usage.hintedMillis += red ? 0 : WORK_MILLIS;
                    boolean harmed = !red && random.nextDouble() < load.harmedFraction();
                    usage.endpoints.merge(
                            UsageCounters.nameHash("s" + random.nextInt(ENDPOINTS)),
                            new UsageReport.EndpointUsage(
                                    red ? WORK_MILLIS : 0, WORK_MILLIS, red ? 0 : 1, harmed ? 1 : 0),
                            UsageReport.EndpointUsage::plus);
                }
            });
            byte[] report = UsageReportCodec.encode(usage.report(quotas.get("red")));
            usage.recentReports.add(0, report);
            if (random.nextDouble() >= lossProbability) {
                evidence.recordReport(d, 1, report);
            }
        }
        return evidence.closeWindow(isolated);
    }

    /**
     * Replaces the lease holder by one without any evidence.
     *
     * @param past whether dispatchers send the reports of earlier windows to it
     */
    void replaceHolder(boolean resendReports) {
        evidence = new ContentionEvidence("red", quotas);
        for (int d = 0; d < dispatchers.size() && resendReports; d++) {
            List<byte[]> reports = dispatchers.get(d).recentReports;
            for (int age = Math.min(ContentionEvidence.WINDOWS, reports.size()); age > 0; age--) {
                if (random.nextDouble() >= lossProbability) {
                    evidence.recordReport(d, 1, UsageReportCodec.withAge(reports.get(age - 1), age));
                }
            }
        }
    }

    /** Encoded reports of a dispatcher that falsely blames a tenant for all harm, each worse than the one before. */
    public static Supplier<byte[]> falseReports(String tenant, int endpoints) {
        DispatcherUsage reporter = new DispatcherUsage();
        return () -> {
            reporter.totalWork += 1_000_000;
            reporter.workByTenant.merge(UsageCounters.nameHash(tenant), 1_000_000L, Long::sum);
            for (int r = 0; r < endpoints; r++) {
                reporter.endpoints.merge(
                        UsageCounters.nameHash("s" + r),
                        new UsageReport.EndpointUsage(100_000, 100_000, 1000, 900),
                        UsageReport.EndpointUsage::plus);
            }
            return UsageReportCodec.encode(reporter.report(0.25).withBaseline(UncontendedBaseline.NONE, true));
        };
    }

    /**
     * How often a tenant within its quota is found to cause contention during windows with bursts of all tenants,
     * slow endpoints, a slow dependency, other tenants' floods and its own load up to its quota.
     */
    public static int countFalseDetections(int dispatchers, int windows, long seed) {
        Map<String, Double> quotas = Map.of("red", 0.25, "blue", 0.25, "green", 0.5);
        SimulatedDispatchers fleet = new SimulatedDispatchers(dispatchers, quotas, seed);
        SplittableRandom random = new SplittableRandom(seed + 1);
        int detections = 0;
        Load load = null;
        for (int w = 0; w < windows; w++) {
            if (w % 8 == 0) {
                double requestRate = 0.5 + 3 * random.nextDouble();
                boolean slow = random.nextInt(4) == 0;
                double harmed = random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0.01;
                load = new Load(
                        Map.of(
                                "red",
                                requestRate * (0.2 + 0.8 * random.nextDouble()),
                                "blue",
                                requestRate * (1 + 2 * (random.nextInt(4) == 0 ? random.nextDouble() : 0)),
                                "green",
                                2 * requestRate),
                        harmed,
                        slow ? 3 : 1);
            }
            detections += fleet.runWindow(load).causesContention() ? 1 : 0;
        }
        return detections;
    }
}
