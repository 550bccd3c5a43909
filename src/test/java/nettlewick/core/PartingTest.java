package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import nettlewick.core.DrainPolicy.Verdict;
import org.junit.jupiter.api.Test;

/** What a process that is to end still takes. */
class PartingTest {
    private final DrainPolicy parting = new DrainPolicy();

    @Test
    void nothingIsHeldWhereNoEndIsForeseen() {
        assertEquals(Verdict.TAKE, parting.verdict("transfer", 20_000, 0));
        assertFalse(parting.saves(5000, 0, 3700));
    }

    /** Guards against long jobs taken shortly before the end, and lost with the process. */
    @Test
    void whatOutlivesTheProcessIsHeldThenRefused() {
        parting.foresee(4000, 7700);
        assertEquals(Verdict.TAKE, parting.verdict("transfer", 5000, 0), "it ends before the kill");
        assertEquals(Verdict.HOLD, parting.verdict("transfer", 5000, 3000));
        assertEquals(Verdict.TAKE, parting.verdict("statement", 500, 3900));
        parting.begin(7700);
        assertEquals(Verdict.REFUSE, parting.verdict("transfer", 5000, 4100));
        assertEquals(Verdict.TAKE, parting.verdict("statement", 500, 4100));
        assertEquals(Verdict.TAKE, parting.verdict("unknown", 0, 7600), "nothing is known of it");
        parting.stay();
        assertEquals(Verdict.REFUSE, parting.verdict("transfer", 5000, 4100), "an end that has begun stays");
    }

    /** Guards against a request that comes after the last look at what is open, is sent on, and never answered. */
    @Test
    void nothingIsBegunOnceWhatIsOpenWasEnded() {
        parting.begin(7700);
        assertEquals(Verdict.TAKE, parting.verdict("unknown", 0, 7400));
        parting.over();
        assertEquals(Verdict.REFUSE, parting.verdict("unknown", 0, 7460));
        assertEquals(Verdict.REFUSE, parting.verdict("statement", 1, 7460));
    }

    /** Guards against jobs held for a successor that never came up. */
    @Test
    void whatIsHeldIsLetGoIfTheEndDoesNotCome() {
        parting.foresee(4000, 7700);
        assertEquals(Verdict.HOLD, parting.verdict("transfer", 9000, 4900));
        assertEquals(5000, parting.heldUntil());
        assertEquals(Verdict.TAKE, parting.verdict("transfer", 9000, 5000));
        parting.stay();
        assertEquals(Verdict.TAKE, parting.verdict("transfer", 9000, 4000));
    }

    @Test
    void runningTimesAreLearnedAgainstHints() {
        assertEquals(1000, parting.expected("transfer", 1000));
        for (int i = 0; i < 40; i++) {
            parting.ran("transfer", 1000, 2000);
            parting.ran("nohint", 0, 700);
        }
        assertEquals(2000, parting.expected("transfer", 1000), 1);
        assertEquals(700, parting.expected("nohint", 0), 1);
        assertEquals(0, parting.expected("other", 0));
    }

    /** Guards against a wait that saves nothing: what ends in time anyway, and what outlives the wait too. */
    @Test
    void aWaitSavesOnlyWhatEndsBetweenTheTwoKills() {
        parting.foresee(4000, 7700);
        assertFalse(parting.saves(2000, 0, 3700));
        assertTrue(parting.saves(4000, 0, 3700));
        assertTrue(parting.saves(7000, 0, 3700), "it may, and the wait costs little");
        assertFalse(parting.saves(9500, 0, 3700));
        assertFalse(parting.saves(4000, 4000, 3700), "the time for it is over");
    }

    /** Whatever comes when: nothing is taken that is expected to outlive the kill, nothing held for too long. */
    @Test
    void randomJobsAreNeverTakenToBeLost() {
        SplittableRandom random = new SplittableRandom(23);
        for (int i = 0; i < 20_000; i++) {
            DrainPolicy p = new DrainPolicy();
            double term = random.nextDouble(5000);
            double kill = term + 3700;
            p.foresee(term, kill);
            double now = random.nextDouble(term + DrainPolicy.LATE);
            double run = random.nextDouble(15_000);
            boolean begun = random.nextBoolean();
            if (begun) {
                p.begin(kill);
            }
            Verdict verdict = p.verdict("c", run, now);
            assertEquals(verdict == Verdict.TAKE, now + 1.3 * run <= kill - 300);
            assertTrue(verdict != Verdict.HOLD || !begun && now < p.heldUntil());
        }
    }
}
