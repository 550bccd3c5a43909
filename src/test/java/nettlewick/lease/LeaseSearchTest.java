package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import nettlewick.lease.LeaseModel.Bug;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The pure machines of a duty over orders of messages and faults; {@code make search-duty} goes further. */
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
        int refused = 0;
        int holders = 0;
        LeaseModel[] end = new LeaseModel[1];
        for (int i = 0; i < WALKS; i++) {
            String broken = LeaseModel.walk(voters, Bug.NONE, random.split(), 100 * voters, end);
            assertEquals(null, broken, "walk " + i);
            acts += end[0].acts;
            refused += end[0].rejectedActs;
            holders += end[0].holders;
        }
        System.out.println("voters=" + voters + " walks=" + WALKS + " holders=" + holders + " acts=" + acts
                + " stale_acts_refused=" + refused);
        assertTrue(refused > 0, "no stale act was tried");
        assertTrue(holders > WALKS / 2, holders + " holders: duties have to change hands");
    }

    /** Voters that all begin without memory, one of them losing it again: what they found once binds them. */
    @Test
    void randomWalksFromEmptyVotersBreakNoInvariant() {
        int voters = 3;
        SplittableRandom random = new SplittableRandom(70 + voters);
        int holders = 0;
        LeaseModel[] end = new LeaseModel[1];
        for (int i = 0; i < WALKS / 2; i++) {
            assertEquals(null, LeaseModel.walkFromEmptyVoters(voters, random.split(), 200 * voters, end), "walk " + i);
            holders += end[0].holders;
        }
        System.out.println("anew voters=" + voters + " holders=" + holders);
        assertTrue(holders > WALKS / 20, holders + " holders");
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void everyWalkConvergesOnceFaultsStop(int voters) {
        SplittableRandom random = new SplittableRandom(40 + voters);
        LeaseModel[] end = new LeaseModel[1];
        for (int i = 0; i < WALKS / 20; i++) {
            LeaseModel.walk(voters, Bug.NONE, random.split(), 120, end);
            assertTrue(end[0].converges(), "walk " + i + " with " + voters + " voters");
        }
    }

    /** Every order, breadth first, to the depth that so many states reach. */
    @Test
    void noOrderOfTheFirstStepsBreaksAnInvariant() {
        LeaseModel start = new LeaseModel(3, Bug.NONE);
        start.losses = 1;
        start.crashes = 1;
        start.changes = 1;
        Deque<LeaseModel> open = new ArrayDeque<>(List.of(start));
        Deque<Integer> depths = new ArrayDeque<>(List.of(0));
        Set<String> seen = new HashSet<>(Set.of(start.describeState()));
        int depth = 0;
        while (!open.isEmpty() && seen.size() < STATES) {
            LeaseModel w = open.poll();
            depth = depths.poll();
            for (String choice : w.choices()) {
                LeaseModel next = new LeaseModel(w);
                assertEquals(null, next.apply(choice), choice);
                if (seen.add(next.describeState())) {
                    open.add(next);
                    depths.add(depth + 1);
                }
            }
        }
        System.out.println("states=" + seen.size() + " depth_whole=" + (depth - 1));
        assertTrue(depth >= 4, "depth " + depth);
    }

    @ParameterizedTest
    @EnumSource(value = Bug.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void eachSeededBugIsFound(Bug bug) {
        SplittableRandom random = new SplittableRandom(7);
        String broken = null;
        int walks = 0;
        while (broken == null && walks < MAX_WALKS_PER_BUG) {
            broken = LeaseModel.walk(3, bug, random.split(), 250, new LeaseModel[1]);
            walks++;
        }
        System.out.println(bug + ": " + broken + " after " + walks + " walks");
        assertTrue(broken != null, bug + " was not found in " + walks + " walks");
    }
}
