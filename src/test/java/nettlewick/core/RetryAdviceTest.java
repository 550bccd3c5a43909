package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.decision.SchedulerSettings.Limits;
import org.junit.jupiter.api.Test;

/** When rejected clients are advised to try again, by what the site allows. */
class RetryAdviceTest {
    private static final long MAX_NANOS = 500_000_000;
    private static final double MAX_MILLIS = 500;

    private static RetryAdvice advice(boolean isAllowed, long maxNanos) {
        return new RetryAdvice(new Limits(2, true, true, true, isAllowed, true, maxNanos));
    }

    private static List<Double> all(RetryAdvice advice) {
        return List.of(advice.atOtherDispatcher(), advice.afterRestart(), advice.whileFull());
    }

    /** Guards against a rejection that says nothing of when to come back. */
    @Test
    void everyRejectionCarriesAdviceWithinTheConfiguredMaximum() {
        assertTrue(all(advice(true, MAX_NANOS)).stream().allMatch(millis -> millis > 0 && millis <= MAX_MILLIS));
    }

    /** Guards against advice where the site does not let dispatchers give any. */
    @Test
    void noRejectionCarriesAdviceWhenRetryAfterIsDisabled() {
        assertEquals(List.of(0.0, 0.0, 0.0), all(advice(false, MAX_NANOS)));
    }
}
