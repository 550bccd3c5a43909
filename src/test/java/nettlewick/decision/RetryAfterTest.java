package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.decision.Action.Reject;
import org.junit.jupiter.api.Test;

/** Guards against rejections without a retry delay, after which clients may retry at once. */
class RetryAfterTest {
    private static List<Reject> rejections(boolean allowed, Event... events) {
        RequestScheduler scheduler = new RequestScheduler(Samples.settings(0, 3, allowed), 11);
        return Samples.actionsOfType(Reject.class, scheduler.handle(1, List.of(events)));
    }

    @Test
    void aRejectionForLackOfEndpointsSaysWhenToRetry() {
        Reject rejected = rejections(true, Samples.arrival("a", "read", "red")).get(0);
        assertTrue(
                rejected.retryAfterNanos() >= Samples.SECOND && rejected.retryAfterNanos() <= 2 * Samples.SECOND,
                rejected.toString());
    }

    @Test
    void anUnknownClassIsRejectedWithTheLongestRetryAfter() {
        assertEquals(
                2 * Samples.SECOND,
                rejections(true, Samples.arrival("a", "none", "red")).get(0).retryAfterNanos());
    }

    @Test
    void noRetryAfterWhereTheSiteAllowsNone() {
        assertEquals(
                0, rejections(false, Samples.arrival("a", "read", "red")).get(0).retryAfterNanos());
    }
}
