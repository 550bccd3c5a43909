package nettlewick.contention;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import nettlewick.contention.VirtualTier.Load;
import org.junit.jupiter.api.Test;

/** Who is noisy and who is not, by a tier of twelve that each see a few jobs in a window. */
class ContentionEvidenceTest {
    private static final int DISPATCHERS = 12;
    private static final int ENDPOINTS = 8;
    private static final int MAX_WINDOWS = 40;

    private final Map<String, Double> quotas = new LinkedHashMap<>(Map.of("red", 0.25, "blue", 0.25, "green", 0.5));
    private VirtualTier tier;

    private void startFleet() {
        tier = new VirtualTier(DISPATCHERS, quotas, 3);
    }

    private ContentionEvidence.Finding window(Load load) {
        return tier.runWindow(load);
    }

    /** After how many windows red is found noisy; -1: never. */
    private int windowsUntilDetected(Load load) {
        for (int w = 1; w <= MAX_WINDOWS; w++) {
            if (window(load).causesContention()) {
                return w;
            }
        }
        return -1;
    }

    private static Load load(double red, double others, double harmed, double drag) {
        return new Load(Map.of("red", red, "blue", others, "green", 2 * others), harmed, drag);
    }

    private void runUncontendedWindows() {
        for (int w = 0; w < 10; w++) {
            assertFalse(window(load(1, 1, 0.01, 1)).causesContention());
        }
    }

    @Test
    void aFloodThatHarmsOthersIsDetectedWithinEightWindows() {
        startFleet();
        runUncontendedWindows();
        int after = windowsUntilDetected(load(6, 1, 0.3, 1.1));
        assertTrue(after >= 4 && after <= 8, "found after " + after);
    }

    @Test
    void lostReportsOnlyDelayDetection() {
        startFleet();
        tier.lossProbability = 0.3;
        runUncontendedWindows();
        int after = windowsUntilDetected(load(6, 1, 0.3, 1.1));
        assertTrue(after >= 4 && after <= 12, "found after " + after);
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
            window(load(1, 1, 0.3, 1));
        }
        assertEquals(-1, windowsUntilDetected(load(6, 1, 0.3, 1)));
    }

    @Test
    void aSlowDependencyIsNotAttributedToAnyTenant() {
        startFleet();
        runUncontendedWindows();
        assertEquals(-1, windowsUntilDetected(load(1, 1, 0.4, 3)));
        assertEquals(
                -1, windowsUntilDetected(load(6, 1, 0.4, 3)), "and not who floods meanwhile either: it cannot be told");
    }

    @Test
    void manySmallTenantsTogetherAreNotBlamed() {
        quotas.clear();
        Map<String, Double> jobs = new LinkedHashMap<>();
        for (int m = 0; m < 10; m++) {
            quotas.put(m == 0 ? "red" : "small-" + m, 0.04);
            jobs.put(m == 0 ? "red" : "small-" + m, 1.5);
        }
        quotas.put("green", 0.6);
        jobs.put("green", 5.0);
        startFleet();
        Map<String, Double> calm = new LinkedHashMap<>(jobs);
        calm.replaceAll((m, j) -> m.equals("green") ? 6 : 0.3);
        for (int w = 0; w < 10; w++) {
            window(new Load(calm, 0.01, 1));
        }
        assertEquals(-1, windowsUntilDetected(new Load(jobs, 0.3, 1)));
    }

    /** Two at once: the larger one first; and then the other, for what the first asks for harms nobody any more. */
    @Test
    void theSecondTenantIsDetectedOnceTheLargerIsIsolated() {
        startFleet();
        runUncontendedWindows();
        Load both = new Load(Map.of("red", 5.0, "blue", 7.0, "green", 2.0), 0.3, 1.1);
        assertEquals(-1, windowsUntilDetected(both));
        tier.isolated = Map.of("blue", java.util.Set.of("s9"));
        assertTrue(windowsUntilDetected(both) > 0);
    }

    @Test
    void theVictimIsNotBlamed() {
        startFleet();
        runUncontendedWindows();
        assertEquals(-1, windowsUntilDetected(new Load(Map.of("red", 1.0, "blue", 8.0, "green", 2.0), 0.3, 1)));
    }

    @Test
    void oneDispatchersReportsAreNotEnough() {
        startFleet();
        runUncontendedWindows();
        java.util.function.Supplier<byte[]> liar = VirtualTier.blame("red", ENDPOINTS);
        for (int w = 0; w < MAX_WINDOWS; w++) {
            tier.evidence.recordReport(DISPATCHERS, 1, liar.get());
            assertFalse(window(load(1, 1, 0.02, 1)).causesContention());
        }
    }

    /** A holder that dies in each window of a flood takes nothing along that its follower is not told again. */
    @Test
    void evidenceSurvivesALeaseHolderChangeInEachWindow() {
        for (double lost : new double[] {0, 0.3}) {
            startFleet();
            tier.lossProbability = lost;
            runUncontendedWindows();
            Load flood = load(6, 1, 0.3, 1.1);
            int after = -1;
            for (int w = 1; w <= MAX_WINDOWS && after < 0; w++) {
                after = window(flood).causesContention() ? w : -1;
                tier.replaceHolder(true);
            }
            assertTrue(after >= 4 && after <= 10, "found after " + after + " with " + lost + " lost");
        }
    }

    @Test
    void aHolderWithoutEarlierReportsDetectsNothingInOneWindow() {
        startFleet();
        runUncontendedWindows();
        for (int w = 1; w <= MAX_WINDOWS; w++) {
            assertFalse(window(load(6, 1, 0.3, 1.1)).causesContention());
            tier.replaceHolder(false);
        }
    }

    /** Late, doubled and in any order, words of one life say the same. */
    @Test
    void earlierReportsMayArriveInAnyOrderAndTwice() {
        startFleet();
        runUncontendedWindows();
        for (int w = 0; w < 6; w++) {
            window(load(6, 1, 0.3, 1.1));
        }
        for (int seed = 0; seed < 20; seed++) {
            java.util.Random random = new java.util.Random(seed);
            tier.evidence = new ContentionEvidence("red", quotas);
            java.util.List<Runnable> words = new java.util.ArrayList<>();
            for (int d = 0; d < DISPATCHERS; d++) {
                int dispatcher = d;
                for (int ago = 1; ago <= ContentionEvidence.WINDOWS; ago++) {
                    byte[] old = UsageReport.withAge(
                            tier.dispatchers.get(d).recentReports.get(ago - 1), ago);
                    words.add(() -> tier.evidence.recordReport(dispatcher, 1, old));
                    words.add(() -> tier.evidence.recordReport(dispatcher, 1, old));
                }
            }
            java.util.Collections.shuffle(words, random);
            words.forEach(Runnable::run);
            assertTrue(window(load(6, 1, 0.3, 1.1)).causesContention(), "seed " + seed);
        }
    }

    @Test
    void aNewIncarnationStartsWithoutEarlierCounts() {
        startFleet();
        for (int d = 0; d < DISPATCHERS; d++) {
            VirtualTier.DispatcherUsage s = tier.dispatchers.get(d);
            s.totalWork = 1_000_000;
            s.workByTenant.put(UsageCounters.nameHash("red"), 1_000_000L);
            s.endpoints.put(
                    UsageCounters.nameHash("s0"), new UsageReport.EndpointUsage(900_000, 1_000_000, 10_000, 9000));
        }
        runUncontendedWindows();
        tier.dispatchers.replaceAll(s -> new VirtualTier.DispatcherUsage());
        for (int d = 0; d < DISPATCHERS; d++) {
            assertTrue(tier.evidence.recordReport(
                    d, 2, tier.dispatchers.get(d).report(0.25).encode()));
        }
        runUncontendedWindows();
    }

    @Test
    void aTenantWithinItsQuotaIsNeverDetectedInAnHourOfNoise() {
        assertEquals(0, VirtualTier.falseMoves(DISPATCHERS, 1800, 5));
    }

    @Property(tries = 300)
    void reportsSurviveEncodingAndDecoding(@ForAll("reports") UsageReport report) {
        assertEquals(report, UsageReport.decode(report.encode()));
        byte[] cut = java.util.Arrays.copyOf(report.encode(), report.encode().length - 1);
        assertNull(UsageReport.decode(cut));
    }

    @net.jqwik.api.Provide
    net.jqwik.api.Arbitrary<UsageReport> reports() {
        return net.jqwik.api.Arbitraries.longs()
                .between(0, Long.MAX_VALUE / 2)
                .list()
                .ofSize(4)
                .map(n -> new UsageReport(
                        n.get(0),
                        Map.of(7, n.get(1)),
                        n.get(2),
                        n.get(3),
                        Map.of(9, new UsageReport.EndpointUsage(n.get(0) / 2, n.get(0), n.get(1), n.get(1) / 3)),
                        new UncontendedBaseline(n.get(2), n.get(2) / 2, n.get(3), n.get(0)),
                        n.get(1) % 2 == 0));
    }
}
