package nettlewick.contention;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import nettlewick.contention.ContentionEvidence.Finding;
import nettlewick.contention.MigrationState.Step;
import nettlewick.contention.PoolMigration.Will;
import nettlewick.contention.PoolReservation.Runner;
import org.junit.jupiter.api.Test;

/** The steps of a move, and which runners a pool is made of. */
class MoverTest {
    private static final PoolMigration.Terms TERMS = new PoolMigration.Terms(0.25, 0.5, 1000, 5000, 2000, 10_000);
    private static final Finding NOISY = new Finding(true, true, 0.8);
    private static final Finding QUIET = new Finding(false, false, 0.1);

    private final Map<String, Runner> ready = new HashMap<>();
    private PoolMigration mover = new PoolMigration("red");
    private MigrationState move = MigrationState.NOWHERE;
    private double now;

    private static Map<String, Runner> fleet(int size) {
        Map<String, Runner> fleet = new HashMap<>();
        for (int i = 0; i < size; i++) {
            fleet.put("s" + i, new Runner("s" + i, i % 4 == 0 ? "b" : "a", "std", null));
        }
        return fleet;
    }

    /** So much later, with a window's finding in each half second; the steps that were gone through. */
    private List<Step> go(double millis, Finding finding, boolean whole) {
        List<Step> steps = new java.util.ArrayList<>();
        for (double end = now + millis; now < end; now += 500) {
            mover.hear(finding, now);
            MigrationState next =
                    mover.next(move, Will.NONE, TERMS, new PoolMigration.View(ready, Set.of(), whole), now);
            if (next.step() != move.step()) {
                steps.add(next.step());
            }
            move = next;
        }
        return steps;
    }

    @Test
    void aNoisyMemberIsMovedAStepAtATimeAndComesBack() {
        ready.putAll(fleet(8));
        assertEquals(List.of(), go(5000, QUIET, true));
        assertEquals(List.of(Step.RESERVE, Step.CLEAR, Step.OPEN), go(5000, NOISY, true));
        assertEquals(2, move.runners().size(), "a quarter of eight");
        assertEquals(List.of(), go(60_000, NOISY, true));
        assertEquals(List.of(Step.CLOSE, Step.NONE), go(14_000, QUIET, true));
        assertEquals(List.of(), move.runners());
        assertEquals(1, move.returns());
    }

    @Test
    void eachReturnDoublesTheNextStay() {
        ready.putAll(fleet(8));
        for (int stay = 10_000; stay <= 80_000; stay *= 2) {
            go(6000, NOISY, true);
            assertEquals(Step.OPEN, move.step());
            assertEquals(List.of(), go(stay - 3000, QUIET, true), "kept for " + stay);
            assertEquals(List.of(Step.CLOSE, Step.NONE), go(8000, QUIET, true));
        }
    }

    @Test
    void runnersThatAreAddedAreWaitedForButNotForGood() {
        ready.putAll(fleet(8));
        assertEquals(List.of(Step.RESERVE), go(4000, NOISY, false));
        assertEquals(List.of(Step.CLEAR, Step.OPEN), go(6000, NOISY, false));
    }

    @Test
    void aNewHolderGoesOnFromTheStoredStep() {
        ready.putAll(fleet(8));
        go(2000, NOISY, true);
        Step stored = move.step();
        assertEquals(Step.CLEAR, stored);
        mover = new PoolMigration("red");
        assertEquals(List.of(Step.OPEN), go(4000, QUIET, true));
    }

    @Test
    void aRunnerThatIsGoneIsReplacedAndAnEmptyListEmptiesNoPool() {
        ready.putAll(fleet(8));
        go(6000, NOISY, true);
        List<String> before = move.runners();
        ready.remove(before.get(0));
        go(500, NOISY, true);
        assertEquals(2, move.runners().size());
        assertTrue(move.runners().contains(before.get(1)) && !move.runners().contains(before.get(0)));
        ready.clear();
        MigrationState kept = move;
        mover.hear(NOISY, now);
        MigrationState next = mover.next(move, Will.NONE, TERMS, new PoolMigration.View(ready, Set.of(), true), now);
        assertEquals(kept.runners(), next.runners());
    }

    @Test
    void operatorsKeepAMemberInAPoolOrOutOfOne() {
        ready.putAll(fleet(8));
        PoolMigration.View view = new PoolMigration.View(ready, Set.of(), true);
        mover.hear(NOISY, 0);
        assertSame(MigrationState.NOWHERE, mover.next(MigrationState.NOWHERE, Will.COMMON, TERMS, view, 0));
        mover.hear(QUIET, 0);
        assertEquals(
                Step.RESERVE,
                mover.next(MigrationState.NOWHERE, Will.POOL, TERMS, view, 0).step());
        MigrationState open = new MigrationState(Step.OPEN, List.of("s1", "s2"), 0);
        assertEquals(Step.CLOSE, mover.next(open, Will.COMMON, TERMS, view, 0).step());
    }

    @Property(tries = 300)
    void poolsTakeTheirShareZonesInProportionAndNeverMoreThanAllowed(
            @ForAll @IntRange(min = 1, max = 60) int size,
            @ForAll @IntRange(min = 1, max = 90) int percent,
            @ForAll @IntRange(min = 0, max = 20) int elsewhere) {
        Map<String, Runner> fleet = fleet(size);
        fleet.put("x", new Runner("x", "a", "std", "red"));
        fleet.put("y", new Runner("y", "a", "std", "blue"));
        Set<String> taken = new HashSet<>();
        for (int i = 0; i < Math.min(elsewhere, size); i++) {
            taken.add("s" + i);
        }
        List<String> pool = PoolReservation.pick("red", fleet, List.of(), taken, percent / 100.0, 0.5);
        assertTrue(pool.contains("x") && !pool.contains("y"));
        assertTrue(pool.stream().noneMatch(taken::contains));
        int common = pool.size() - 1;
        assertTrue(common + taken.size() <= size / 2 || common == 0, common + " beside " + taken.size());
        assertTrue(common <= Math.max(1, Math.round(percent / 100.0 * size)));
        if (taken.isEmpty() && common > 0) {
            long far =
                    pool.stream().filter(r -> fleet.get(r).zone().equals("b")).count();
            long all = fleet.values().stream().filter(r -> r.zone().equals("b")).count();
            assertTrue(Math.abs(far - common * all / (double) size) < 1, far + " of " + common);
        }
        List<String> again = PoolReservation.pick("red", fleet, pool, taken, percent / 100.0, 0.5);
        assertEquals(new HashSet<>(pool), new HashSet<>(again), "it stays as it is");
    }
}
