package nettlewick.contention;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import nettlewick.contention.SimulatedDispatchers.Load;
import org.junit.jupiter.api.Test;

/** Detection of contention from the reports of twelve dispatchers that each see a few requests in a window. */
class ContentionEvidenceTest {
    private static final int DISPATCHERS = 12;
    private static final int ENDPOINTS = 8;
    private static final int MAX_WINDOWS = 40;

    private final Map<String, Double> quotas = new LinkedHashMap<>(Map.of("red", 0.25, "blue", 0.25, "green", 0.5));
    private SimulatedDispatchers fleet;

    private void startFleet() {
        fleet = new SimulatedDispatchers(DISPATCHERS, quotas, 3);
    }

    private ContentionEvidence.Finding runWindow(Load load) {
        return fleet.runWindow(load);
    }

    /** The number of windows until tenant red is found to cause contention; -1 if it is not. */
    private int windowsUntilDetected(Load load) {
        for (int w = 1; w <= MAX_WINDOWS; w++) {
            if (runWindow(load).causesContention()) {
                return w;
            }
        }
        return -1;
    }

    private static Load load(double red, double others, double harmedFraction, double slowdown) {
        return new Load(Map.of("red", red, "blue", others, "green", 2 * others), harmedFraction, slowdown);
    }

    private void runUncontendedWindows() {
        for (int w = 0; w < 10; w++) {
            assertFalse(runWindow(load(1, 1, 0.01, 1)).causesContention());
        }
    }

    @Test
    void aFloodThatHarmsOthersIsDetectedWithinEightWindows() {
        startFleet();
        runUncontendedWindows();
        int windows = windowsUntilDetected(load(6, 1, 0.3, 1.1));
        assertTrue(windows >= 4 && windows <= 8, "detected after " + windows);
    }

    @Test
    void lostReportsOnlyDelayDetection() {
        startFleet();
        fleet.lossProbability = 0.3;
        runUncontendedWindows();
        int windows = windowsUntilDetected(load(6, 1, 0.3, 1.1));
        assertTrue(windows >= 4 && windows <= 12, "detected after " + windows);
    }

    @Test
    void aFloodThatHarmsNobodyIsNotContention() {
        startFleet();
        runUncontendedWindows();
        assertEquals(-1, windowsUntilDetected(load(6, 1, 0.01, 1)));
    }

    @Test
    void harmThatPredatesTheFloodIsNotAttributedToIt() {
        startFleet();
        for (int w = 0; w < 10; w++) {
            runWindow(load(1, 1, 0.3, 1));
        }
        assertEquals(-1, windowsUntilDetected(load(6, 1, 0.3, 1)));
    }

    @Test
    void aSlowDependencyIsNotAttributedToAnyTenant() {
        startFleet();
        runUncontendedWindows();
        assertEquals(-1, windowsUntilDetected(load(1, 1, 0.4, 3)));
        assertEquals(
                -1,
                windowsUntilDetected(load(6, 1, 0.4, 3)),
                "a flood during the slowdown cannot be told apart from it");
    }

    @Test
    void manySmallTenantsTogetherAreNotBlamed() {
        quotas.clear();
        Map<String, Double> requests = new LinkedHashMap<>();
        for (int i = 0; i < 10; i++) {
            quotas.put(i == 0 ? "red" : "small-" + i, 0.04);
            requests.put(i == 0 ? "red" : "small-" + i, 1.5);
        }
        quotas.put("green", 0.6);
        requests.put("green", 5.0);
        startFleet();
        Map<String, Double> withinQuotas = new LinkedHashMap<>(requests);
        withinQuotas.replaceAll((tenant, mean) -> tenant.equals("green") ? 6 : 0.3);
        for (int w = 0; w < 10; w++) {
            runWindow(new Load(withinQuotas, 0.01, 1));
        }
        assertEquals(-1, windowsUntilDetected(new Load(requests, 0.3, 1)));
    }

    /** Of two flooding tenants, the larger is detected first and the other one only after its migration. */
    @Test
    void theSecondTenantIsDetectedOnceTheLargerIsIsolated() {
        startFleet();
        runUncontendedWindows();
        Load bothFlood = new Load(Map.of("red", 5.0, "blue", 7.0, "green", 2.0), 0.3, 1.1);
        assertEquals(-1, windowsUntilDetected(bothFlood));
        fleet.isolated = Map.of("blue", Set.of("s9"));
        assertTrue(windowsUntilDetected(bothFlood) > 0);
    }

    @Test
    void aTenantHarmedByAnotherIsNotBlamed() {
        startFleet();
        runUncontendedWindows();
        assertEquals(-1, windowsUntilDetected(new Load(Map.of("red", 1.0, "blue", 8.0, "green", 2.0), 0.3, 1)));
    }

    @Test
    void oneDispatchersReportsAreNotEnough() {
        startFleet();
        runUncontendedWindows();
        Supplier<byte[]> falseReports = SimulatedDispatchers.falseReports("red", ENDPOINTS);
        for (int w = 0; w < MAX_WINDOWS; w++) {
            fleet.evidence.recordReport(DISPATCHERS, 1, falseReports.get());
            assertFalse(runWindow(load(1, 1, 0.02, 1)).causesContention());
        }
    }

    /**
     * The lease holder is replaced in each window of a flood; dispatchers resend the last windows to each new holder.
     */
    @Test
    void evidenceSurvivesALeaseHolderChangeInEachWindow() {
        for (double lossProbability : new double[] {0, 0.3}) {
            startFleet();
            fleet.lossProbability = lossProbability;
            runUncontendedWindows();
            Load flood = load(6, 1, 0.3, 1.1);
            int windows = -1;
            for (int w = 1; w <= MAX_WINDOWS && windows < 0; w++) {
                windows = runWindow(flood).causesContention() ? w : -1;
                fleet.replaceHolder(true);
            }
            assertTrue(
                    windows >= 4 && windows <= 10,
                    "detected after " + windows + " windows with loss probability " + lossProbability);
        }
    }

    @Test
    void aHolderWithoutEarlierReportsDetectsNothingInOneWindow() {
        startFleet();
        runUncontendedWindows();
        for (int w = 1; w <= MAX_WINDOWS; w++) {
            assertFalse(runWindow(load(6, 1, 0.3, 1.1)).causesContention());
            fleet.replaceHolder(false);
        }
    }

    /** Reports of one incarnation may be delayed, duplicated and reordered. */
    @Test
    void earlierReportsMayArriveInAnyOrderAndTwice() {
        startFleet();
        runUncontendedWindows();
        for (int w = 0; w < 6; w++) {
            runWindow(load(6, 1, 0.3, 1.1));
        }
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            fleet.evidence = new ContentionEvidence("red", quotas);
            List<Runnable> deliveries = new ArrayList<>();
            for (int d = 0; d < DISPATCHERS; d++) {
                int dispatcher = d;
                for (int age = 1; age <= ContentionEvidence.WINDOWS; age++) {
                    byte[] earlierReport = UsageReportCodec.withAge(
                            fleet.dispatchers.get(d).recentReports.get(age - 1), age);
                    deliveries.add(() -> fleet.evidence.recordReport(dispatcher, 1, earlierReport));
                    deliveries.add(() -> fleet.evidence.recordReport(dispatcher, 1, earlierReport));
                }
            }
            Collections.shuffle(deliveries, random);
            deliveries.forEach(Runnable::run);
            assertTrue(runWindow(load(6, 1, 0.3, 1.1)).causesContention(), "seed " + seed);
        }
    }

    @Test
    void aNewIncarnationStartsWithoutEarlierCounts() {
        startFleet();
        for (int d = 0; d < DISPATCHERS; d++) {
            SimulatedDispatchers.DispatcherUsage usage = fleet.dispatchers.get(d);
            usage.totalWork = 1_000_000;
            usage.workByTenant.put(UsageCounters.nameHash("red"), 1_000_000L);
            usage.endpoints.put(
                    UsageCounters.nameHash("s0"), new UsageReport.EndpointUsage(900_000, 1_000_000, 10_000, 9000));
        }
        runUncontendedWindows();
        fleet.dispatchers.replaceAll(previous -> new SimulatedDispatchers.DispatcherUsage());
        for (int d = 0; d < DISPATCHERS; d++) {
            assertTrue(fleet.evidence.recordReport(
                    d, 2, UsageReportCodec.encode(fleet.dispatchers.get(d).report(0.25))));
        }
        runUncontendedWindows();
    }

    @Test
    void aTenantWithinItsQuotaIsNeverDetectedInAnHourOfNoise() {
        assertEquals(0, SimulatedDispatchers.countFalseDetections(DISPATCHERS, 1800, 5));
    }

    @Property(tries = 300)
    void reportsSurviveEncodingAndDecoding(@ForAll("reports") UsageReport report) {
        byte[] bytes = UsageReportCodec.encode(report);
        assertEquals(report, UsageReportCodec.decode(bytes));
        byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);
        assertNull(UsageReportCodec.decode(truncated));
    }

    @Provide
    Arbitrary<UsageReport> reports() {
        return Arbitraries.longs()
                .between(0, Long.MAX_VALUE / 2)
                .list()
                .ofSize(4)
                .map(counts -> new UsageReport(
                        counts.get(0),
                        Map.of(7, counts.get(1)),
                        counts.get(2),
                        counts.get(3),
                        Map.of(
                                9,
                                new UsageReport.EndpointUsage(
                                        counts.get(0) / 2, counts.get(0), counts.get(1), counts.get(1) / 3)),
                        new UncontendedBaseline(counts.get(2), counts.get(2) / 2, counts.get(3), counts.get(0)),
                        counts.get(1) % 2 == 0));
    }
}
