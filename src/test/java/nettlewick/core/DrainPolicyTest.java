package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import nettlewick.core.DrainPolicy.Decision;
import org.junit.jupiter.api.Test;

/** Which requests a process that is about to be drained still admits. */
class DrainPolicyTest {
    private final DrainPolicy policy = new DrainPolicy();

    @Test
    void nothingIsHeldWhenNoDrainingIsExpected() {
        assertEquals(Decision.ADMIT, policy.decide("transfer", 20_000, 0));
        assertFalse(policy.isSavedByDelayingDrain(5000, 0, 3700));
    }

    /** Guards against losing long requests that are admitted shortly before the kill. */
    @Test
    void requestsThatOutliveTheProcessAreHeldThenRejected() {
        policy.expectDraining(4000, 7700);
        assertEquals(Decision.ADMIT, policy.decide("transfer", 5000, 0), "it ends before the kill");
        assertEquals(Decision.HOLD, policy.decide("transfer", 5000, 3000));
        assertEquals(Decision.ADMIT, policy.decide("statement", 500, 3900));
        policy.startDraining(7700);
        assertEquals(Decision.REJECT, policy.decide("transfer", 5000, 4100));
        assertEquals(Decision.ADMIT, policy.decide("statement", 500, 4100));
        assertEquals(Decision.ADMIT, policy.decide("unknown", 0, 7600), "the run time of its class is unknown");
        policy.cancelExpectedDraining();
        assertEquals(
                Decision.REJECT,
                policy.decide("transfer", 5000, 4100),
                "draining that has started cannot be cancelled");
    }

    /** Guards against forwarding a request after all in flight were answered, when it would get no answer. */
    @Test
    void nothingIsAdmittedAfterAdmissionStopped() {
        policy.startDraining(7700);
        assertEquals(Decision.ADMIT, policy.decide("unknown", 0, 7400));
        policy.stopAdmitting();
        assertEquals(Decision.REJECT, policy.decide("unknown", 0, 7460));
        assertEquals(Decision.REJECT, policy.decide("statement", 1, 7460));
    }

    /** Guards against holding requests for a successor that failed to start. */
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

    /** Delaying the drain saves neither requests that end in time anyway nor those that outlive the delay too. */
    @Test
    void delayingDrainSavesOnlyRequestsThatEndBetweenTheTwoKillTimes() {
        policy.expectDraining(4000, 7700);
        assertFalse(policy.isSavedByDelayingDrain(2000, 0, 3700));
        assertTrue(policy.isSavedByDelayingDrain(4000, 0, 3700));
        assertTrue(policy.isSavedByDelayingDrain(7000, 0, 3700), "it may end in time, and the delay costs little");
        assertFalse(policy.isSavedByDelayingDrain(9500, 0, 3700));
        assertFalse(policy.isSavedByDelayingDrain(4000, 4000, 3700), "the expected start of draining has passed");
    }

    /** No request that is expected to outlive the kill is admitted, and none is held beyond the hold limit. */
    @Test
    void requestsThatOutliveTheKillAreNeverAdmitted() {
        SplittableRandom random = new SplittableRandom(23);
        for (int i = 0; i < 20_000; i++) {
            DrainPolicy randomPolicy = new DrainPolicy();
            double drainAtMillis = random.nextDouble(5000);
            double killAtMillis = drainAtMillis + 3700;
            randomPolicy.expectDraining(drainAtMillis, killAtMillis);
            double nowMillis = random.nextDouble(drainAtMillis + DrainPolicy.MAX_DRAIN_DELAY_MILLIS);
            double runMillis = random.nextDouble(15_000);
            boolean drainingStarted = random.nextBoolean();
            if (drainingStarted) {
                randomPolicy.startDraining(killAtMillis);
            }
            Decision decision = randomPolicy.decide("c", runMillis, nowMillis);
            assertEquals(decision == Decision.ADMIT, nowMillis + 1.3 * runMillis <= killAtMillis - 300);
            assertTrue(decision != Decision.HOLD || !drainingStarted && nowMillis < randomPolicy.holdUntilMillis());
        }
    }
}
