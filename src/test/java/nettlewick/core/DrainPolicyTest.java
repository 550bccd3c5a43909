package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import nettlewick.core.DrainPolicy.Decision;
import org.junit.jupiter.api.Test;

/** What a process that is to end still takes. */
class DrainPolicyTest {
    private final DrainPolicy policy = new DrainPolicy();

    @Test
    void nothingIsHeldWhenNoDrainingIsExpected() {
        assertEquals(Decision.ADMIT, policy.decide("transfer", 20_000, 0));
        assertFalse(policy.isSavedByWaiting(5000, 0, 3700));
    }

    /** Guards against long jobs taken shortly before the end, and lost with the process. */
    @Test
    void requestsThatOutliveTheProcessAreHeldThenRejected() {
        policy.expectDraining(4000, 7700);
        assertEquals(Decision.ADMIT, policy.decide("transfer", 5000, 0), "it ends before the kill");
        assertEquals(Decision.HOLD, policy.decide("transfer", 5000, 3000));
        assertEquals(Decision.ADMIT, policy.decide("statement", 500, 3900));
        policy.startDraining(7700);
        assertEquals(Decision.REJECT, policy.decide("transfer", 5000, 4100));
        assertEquals(Decision.ADMIT, policy.decide("statement", 500, 4100));
        assertEquals(Decision.ADMIT, policy.decide("unknown", 0, 7600), "nothing is known of it");
        policy.cancelExpectedDraining();
        assertEquals(Decision.REJECT, policy.decide("transfer", 5000, 4100), "an end that has begun stays");
    }

    /** Guards against a request that comes after the last look at what is open, is sent on, and never answered. */
    @Test
    void nothingIsAdmittedAfterAdmissionStopped() {
        policy.startDraining(7700);
        assertEquals(Decision.ADMIT, policy.decide("unknown", 0, 7400));
        policy.stopAdmitting();
        assertEquals(Decision.REJECT, policy.decide("unknown", 0, 7460));
        assertEquals(Decision.REJECT, policy.decide("statement", 1, 7460));
    }

    /** Guards against jobs held for a successor that never came up. */
    @Test
    void holdingEndsWhenDrainingDoesNotStart() {
        policy.expectDraining(4000, 7700);
        assertEquals(Decision.HOLD, policy.decide("transfer", 9000, 4900));
        assertEquals(5000, policy.holdUntilMillis());
        assertEquals(Decision.ADMIT, policy.decide("transfer", 9000, 5000));
        policy.cancelExpectedDraining();
        assertEquals(Decision.ADMIT, policy.decide("transfer", 9000, 4000));
    }

    @Test
    void runTimesAreLearnedRelativeToHints() {
        assertEquals(1000, policy.expectedRunMillis("transfer", 1000));
        for (int i = 0; i < 40; i++) {
            policy.recordRunTime("transfer", 1000, 2000);
            policy.recordRunTime("nohint", 0, 700);
        }
        assertEquals(2000, policy.expectedRunMillis("transfer", 1000), 1);
        assertEquals(700, policy.expectedRunMillis("nohint", 0), 1);
        assertEquals(0, policy.expectedRunMillis("other", 0));
    }

    /** Guards against a wait that saves nothing: what ends in time anyway, and what outlives the wait too. */
    @Test
    void waitingSavesOnlyRequestsThatEndBetweenTheTwoKillTimes() {
        policy.expectDraining(4000, 7700);
        assertFalse(policy.isSavedByWaiting(2000, 0, 3700));
        assertTrue(policy.isSavedByWaiting(4000, 0, 3700));
        assertTrue(policy.isSavedByWaiting(7000, 0, 3700), "it may, and the wait costs little");
        assertFalse(policy.isSavedByWaiting(9500, 0, 3700));
        assertFalse(policy.isSavedByWaiting(4000, 4000, 3700), "the time for it is over");
    }

    /** Whatever comes when: nothing is taken that is expected to outlive the kill, nothing held for too long. */
    @Test
    void randomRequestsAreNeverAdmittedToBeLost() {
        SplittableRandom random = new SplittableRandom(23);
        for (int i = 0; i < 20_000; i++) {
            DrainPolicy p = new DrainPolicy();
            double term = random.nextDouble(5000);
            double kill = term + 3700;
            p.expectDraining(term, kill);
            double now = random.nextDouble(term + DrainPolicy.MAX_DRAIN_DELAY_MILLIS);
            double run = random.nextDouble(15_000);
            boolean begun = random.nextBoolean();
            if (begun) {
                p.startDraining(kill);
            }
            Decision verdict = p.decide("c", run, now);
            assertEquals(verdict == Decision.ADMIT, now + 1.3 * run <= kill - 300);
            assertTrue(verdict != Decision.HOLD || !begun && now < p.holdUntilMillis());
        }
    }
}
