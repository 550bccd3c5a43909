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
class EvidenceTest {
    private static final int TIER = 12;
    private static final int RUNNERS = 8;
    private static final int LIMIT = 40;

    private final Map<String, Double> shares = new LinkedHashMap<>(Map.of("red", 0.25, "blue", 0.25, "green", 0.5));
    private VirtualTier tier;

    private void begin() {
        tier = new VirtualTier(TIER, shares, 3);
    }

    private ContentionEvidence.Finding window(Load load) {
        return tier.window(load);
    }

    /** After how many windows red is found noisy; -1: never. */
    private int found(Load load) {
        for (int w = 1; w <= LIMIT; w++) {
            if (window(load).noisy()) {
                return w;
            }
        }
        return -1;
    }

    private static Load load(double red, double others, double harmed, double drag) {
        return new Load(Map.of("red", red, "blue", others, "green", 2 * others), harmed, drag);
    }

    private void peace() {
        for (int w = 0; w < 10; w++) {
            assertFalse(window(load(1, 1, 0.01, 1)).noisy());
        }
    }

    @Test
    void aFloodThatHarmsOthersIsFoundAfterSomeWindows() {
        begin();
        peace();
        int after = found(load(6, 1, 0.3, 1.1));
        assertTrue(after >= 4 && after <= 8, "found after " + after);
    }

    @Test
    void wordsThatAreLostDelayIt() {
        begin();
        tier.lost = 0.3;
        peace();
        int after = found(load(6, 1, 0.3, 1.1));
        assertTrue(after >= 4 && after <= 12, "found after " + after);
    }

    @Test
    void aFloodThatHarmsNobodyIsNone() {
        begin();
        peace();
        assertEquals(-1, found(load(6, 1, 0.01, 1)));
    }

    @Test
    void harmAtAllTimesIsNotTheFloods() {
        begin();
        for (int w = 0; w < 10; w++) {
            window(load(1, 1, 0.3, 1));
        }
        assertEquals(-1, found(load(6, 1, 0.3, 1)));
    }

    @Test
    void aDependencyThatSlowsAllMovesNobody() {
        begin();
        peace();
        assertEquals(-1, found(load(1, 1, 0.4, 3)));
        assertEquals(-1, found(load(6, 1, 0.4, 3)), "and not who floods meanwhile either: it cannot be told");
    }

    @Test
    void manySmallOnesTogetherMoveNobody() {
        shares.clear();
        Map<String, Double> jobs = new LinkedHashMap<>();
        for (int m = 0; m < 10; m++) {
            shares.put(m == 0 ? "red" : "small-" + m, 0.04);
            jobs.put(m == 0 ? "red" : "small-" + m, 1.5);
        }
        shares.put("green", 0.6);
        jobs.put("green", 5.0);
        begin();
        Map<String, Double> calm = new LinkedHashMap<>(jobs);
        calm.replaceAll((m, j) -> m.equals("green") ? 6 : 0.3);
        for (int w = 0; w < 10; w++) {
            window(new Load(calm, 0.01, 1));
        }
        assertEquals(-1, found(new Load(jobs, 0.3, 1)));
    }

    /** Two at once: the larger one first; and then the other, for what the first asks for harms nobody any more. */
    @Test
    void whoIsLeftIsFoundOnceTheLargerOneIsApart() {
        begin();
        peace();
        Load both = new Load(Map.of("red", 5.0, "blue", 7.0, "green", 2.0), 0.3, 1.1);
        assertEquals(-1, found(both));
        tier.apart = Map.of("blue", java.util.Set.of("s9"));
        assertTrue(found(both) > 0);
    }

    @Test
    void theVictimIsNotBlamed() {
        begin();
        peace();
        assertEquals(-1, found(new Load(Map.of("red", 1.0, "blue", 8.0, "green", 2.0), 0.3, 1)));
    }

    @Test
    void noneIsMovedOnOneDispatchersWord() {
        begin();
        peace();
        java.util.function.Supplier<byte[]> liar = VirtualTier.blame("red", RUNNERS);
        for (int w = 0; w < LIMIT; w++) {
            tier.evidence.hear(TIER, 1, liar.get());
            assertFalse(window(load(1, 1, 0.02, 1)).noisy());
        }
    }

    /** A holder that dies in each window of a flood takes nothing along that its follower is not told again. */
    @Test
    void whatWasSeenOutlivesItsHolder() {
        for (double lost : new double[] {0, 0.3}) {
            begin();
            tier.lost = lost;
            peace();
            Load flood = load(6, 1, 0.3, 1.1);
            int after = -1;
            for (int w = 1; w <= LIMIT && after < 0; w++) {
                after = window(flood).noisy() ? w : -1;
                tier.handOn(true);
            }
            assertTrue(after >= 4 && after <= 10, "found after " + after + " with " + lost + " lost");
        }
    }

    @Test
    void aHolderThatIsToldNothingOfBeforeFindsNothingInAWindow() {
        begin();
        peace();
        for (int w = 1; w <= LIMIT; w++) {
            assertFalse(window(load(6, 1, 0.3, 1.1)).noisy());
            tier.handOn(false);
        }
    }

    /** Late, doubled and in any order, words of one life say the same. */
    @Test
    void wordsOfBeforeMayComeInAnyOrderAndTwice() {
        begin();
        peace();
        for (int w = 0; w < 6; w++) {
            window(load(6, 1, 0.3, 1.1));
        }
        for (int seed = 0; seed < 20; seed++) {
            java.util.Random random = new java.util.Random(seed);
            tier.evidence = new ContentionEvidence("red", shares);
            java.util.List<Runnable> words = new java.util.ArrayList<>();
            for (int d = 0; d < TIER; d++) {
                int from = d;
                for (int ago = 1; ago <= ContentionEvidence.WINDOWS; ago++) {
                    byte[] old = UsageReport.aged(tier.tier.get(d).past.get(ago - 1), ago);
                    words.add(() -> tier.evidence.hear(from, 1, old));
                    words.add(() -> tier.evidence.hear(from, 1, old));
                }
            }
            java.util.Collections.shuffle(words, random);
            words.forEach(Runnable::run);
            assertTrue(window(load(6, 1, 0.3, 1.1)).noisy(), "seed " + seed);
        }
    }

    @Test
    void aNewLifeAndANewHolderBeginWithoutWhatWasBefore() {
        begin();
        for (int d = 0; d < TIER; d++) {
            VirtualTier.Seen s = tier.tier.get(d);
            s.total = 1_000_000;
            s.asked.put(UsageCounters.mark("red"), 1_000_000L);
            s.at.put(UsageCounters.mark("s0"), new UsageReport.At(900_000, 1_000_000, 10_000, 9000));
        }
        peace();
        tier.tier.replaceAll(s -> new VirtualTier.Seen());
        for (int d = 0; d < TIER; d++) {
            assertTrue(tier.evidence.hear(d, 2, tier.tier.get(d).word(0.25).bytes()));
        }
        peace();
    }

    @Test
    void aMemberInsideItsShareIsNeverMovedInAnHourOfNoise() {
        assertEquals(0, VirtualTier.falseMoves(TIER, 1800, 5));
    }

    @Property(tries = 300)
    void wordsComeBackAsTheyWere(@ForAll("words") UsageReport word) {
        assertEquals(word, UsageReport.of(word.bytes()));
        byte[] cut = java.util.Arrays.copyOf(word.bytes(), word.bytes().length - 1);
        assertNull(UsageReport.of(cut));
    }

    @net.jqwik.api.Provide
    net.jqwik.api.Arbitrary<UsageReport> words() {
        return net.jqwik.api.Arbitraries.longs()
                .between(0, Long.MAX_VALUE / 2)
                .list()
                .ofSize(4)
                .map(n -> new UsageReport(
                        n.get(0),
                        Map.of(7, n.get(1)),
                        n.get(2),
                        n.get(3),
                        Map.of(9, new UsageReport.At(n.get(0) / 2, n.get(0), n.get(1), n.get(1) / 3)),
                        new UncontendedBaseline(n.get(2), n.get(2) / 2, n.get(3), n.get(0)),
                        n.get(1) % 2 == 0));
    }
}
