package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.decision.Action.Reject;
import org.junit.jupiter.api.Test;

/** Guards against refusals that do not say when to come back: clients then come back when they like. */
class RetryAfterTest {
    private static List<Reject> refusals(boolean allowed, Event... events) {
        RequestScheduler logic = new RequestScheduler(Samples.settings(0, 3, allowed), 11);
        return Samples.only(Reject.class, logic.handle(1, List.of(events)));
    }

    @Test
    void aRefusalForWantOfAnyWorkerSaysWhenToComeBack() {
        Reject refused = refusals(true, Samples.arrival("a", "read", "red")).get(0);
        assertTrue(
                refused.retryAfter() >= Samples.SECOND && refused.retryAfter() <= 2 * Samples.SECOND,
                refused.toString());
    }

    @Test
    void aClassThatIsUnknownIsRefusedForAsLongAsClientsHeed() {
        assertEquals(
                2 * Samples.SECOND,
                refusals(true, Samples.arrival("a", "none", "red")).get(0).retryAfter());
    }

    @Test
    void nothingIsAdvisedWhereTheSiteGivesNoAdvice() {
        assertEquals(
                0, refusals(false, Samples.arrival("a", "read", "red")).get(0).retryAfter());
    }
}
