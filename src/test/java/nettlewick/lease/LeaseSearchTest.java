package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Searches orders of messages and faults for violated invariants; {@code make search-duty} searches further. */
@Timeout(120)
class LeaseSearchTest {
    static final int WALKS = Integer.getInteger("search.walks", 5_000);
    static final int STATES = Integer.getInteger("search.states", 40_000);

    private static final int MAX_WALKS_PER_BUG = 50_000;

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void randomWalksBreakNoInvariant(int voters) {
        SplittableRandom random = new SplittableRandom(voters);
        int acts = 0;
        int rejectedActs = 0;
        int holders = 0;
        for (int i = 0; i < WALKS; i++) {
            LeaseRandomWalk walk = new LeaseRandomWalk(new LeaseModel(voters, SeededBug.NONE), random.split());
            assertNull(walk.run(100 * voters), "walk " + i);
            acts += walk.model().actCount();
            rejectedActs += walk.model().rejectedActCount();
            holders += walk.model().holderCount();
        }
        System.out.println("voters=" + voters + " walks=" + WALKS + " holders=" + holders + " acts=" + acts
                + " stale_acts_rejected=" + rejectedActs);
        assertTrue(rejectedActs > 0, "no operation under an outdated fence was tried");
        assertTrue(holders > WALKS / 2, holders + " holders: leases must change holders");
    }

    /** Voters that all start without records, of which one may lose its records again, do not lose a stored state. */
    @Test
    void randomWalksFromEmptyVotersBreakNoInvariant() {
        int voters = 3;
        SplittableRandom random = new SplittableRandom(70 + voters);
        int holders = 0;
        for (int i = 0; i < WALKS / 2; i++) {
            LeaseRandomWalk walk = new LeaseRandomWalk(LeaseModel.withEmptyVoters(voters), random.split());
            assertNull(walk.run(200 * voters), "walk " + i);
            holders += walk.model().holderCount();
        }
        System.out.println("empty voters=" + voters + " holders=" + holders);
        assertTrue(holders > WALKS / 20, holders + " holders");
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void everyWalkConvergesOnceFaultsStop(int voters) {
        SplittableRandom random = new SplittableRandom(40 + voters);
        for (int i = 0; i < WALKS / 20; i++) {
            LeaseRandomWalk walk = new LeaseRandomWalk(new LeaseModel(voters, SeededBug.NONE), random.split());
            walk.run(120);
            assertTrue(walk.model().converges(), "walk " + i + " with " + voters + " voters");
        }
    }

    /** Explores all orders of steps breadth first, as deep as the limit on states allows. */
    @Test
    void noOrderOfTheFirstStepsBreaksAnInvariant() {
        LeaseModel start =
                new LeaseModel(3, SeededBug.NONE).allowFaults(1, 0, 1).allowHolderSteps(1, 0);
        Deque<LeaseModel> unexplored = new ArrayDeque<>(List.of(start));
        Deque<Integer> depths = new ArrayDeque<>(List.of(0));
        Set<String> seen = new HashSet<>(Set.of(start.describeState()));
        int depth = 0;
        while (!unexplored.isEmpty() && seen.size() < STATES) {
            LeaseModel model = unexplored.poll();
            depth = depths.poll();
            for (LeaseModelStep step : model.choices()) {
                LeaseModel next = new LeaseModel(model);
                assertNull(next.apply(step), step.toString());
                if (seen.add(next.describeState())) {
                    unexplored.add(next);
                    depths.add(depth + 1);
                }
            }
        }
        System.out.println("states=" + seen.size() + " complete_depth=" + (depth - 1));
        assertTrue(depth >= 4, "depth " + depth);
    }

    @ParameterizedTest
    @EnumSource(value = SeededBug.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void eachSeededBugIsFound(SeededBug bug) {
        SplittableRandom random = new SplittableRandom(7);
        String violation = null;
        int walks = 0;
        while (violation == null && walks < MAX_WALKS_PER_BUG) {
            violation = new LeaseRandomWalk(new LeaseModel(3, bug), random.split()).run(250);
            walks++;
        }
        System.out.println(bug + ": " + violation + " after " + walks + " walks");
        assertNotNull(violation, bug + " was not found in " + walks + " walks");
    }
}
