package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.decision.SchedulerSettings.Limits;
import org.junit.jupiter.api.Test;

/** The retry delay that rejected clients are advised to use, depending on the limits. */
class RetryAdviceTest {
    private static final long MAX_NANOS = 500_000_000;
    private static final double MAX_MILLIS = 500;

    private static RetryAdvice advice(boolean isAllowed, long maxNanos) {
        return new RetryAdvice(new Limits(2, true, true, true, isAllowed, true, maxNanos));
    }

    private static List<Double> all(RetryAdvice advice) {
        return List.of(advice.atOtherDispatcher(), advice.afterRestart(), advice.whileFull());
    }

    /** Guards against a rejection without retry advice. */
    @Test
    void everyRejectionCarriesAdviceWithinTheConfiguredMaximum() {
        assertTrue(all(advice(true, MAX_NANOS)).stream().allMatch(millis -> millis > 0 && millis <= MAX_MILLIS));
    }

    /** Guards against retry advice although the limits disable it. */
    @Test
    void noRejectionCarriesAdviceWhenRetryAfterIsDisabled() {
        assertEquals(List.of(0.0, 0.0, 0.0), all(advice(false, MAX_NANOS)));
    }
}
