package nettlewick.contention;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/** Simulated dispatchers that each see a few requests in a window and report to the holder of tenant red's lease. */
public final class SimulatedDispatchers {
    private static final int ENDPOINTS = 8;
    private static final long WORK_MILLIS = 50;

    /** The cumulative counts of one dispatcher with respect to tenant red, since its incarnation began. */
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

        /** Creates the report at the end of a window. */
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
     * @param requestsPerWindow mean number of requests of each tenant on each dispatcher
     * @param harmedFraction    the fraction of other tenants' attempts that are harmed
     * @param slowdown          the ratio of run time to cost hint
     */
    public record Load(Map<String, Double> requestsPerWindow, double harmedFraction, double slowdown) {}

    final SplittableRandom random;
    final List<DispatcherUsage> dispatchers = new ArrayList<>();
    final Map<String, Double> quotas;
    ContentionEvidence evidence;
    /** Tenants that are confined to dedicated endpoints, with the names of these endpoints. */
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
     * Replaces the lease holder with one that has no evidence.
     *
     * @param resendReports whether dispatchers resend the reports on earlier windows to it
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

    /**
     * Supplies encoded reports of a dispatcher that falsely attributes all harm to a tenant, each with larger counts.
     */
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
     * Counts how often a tenant within its quota is wrongly found to cause contention, over windows with bursts of all
     * tenants, slow endpoints, a slow dependency, floods of other tenants and its own load up to its quota.
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
