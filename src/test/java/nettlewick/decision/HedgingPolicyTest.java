package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;

/** The budget of hedged requests. */
class HedgingPolicyTest {
    private final Endpoint endpoint = new Endpoint("w0");
    private final ScheduledRequest request = Samples.request("read", Idempotency.IDEMPOTENT, Scope.ALL);

    @Test
    void eachLostAttemptAddsTwoHedgesToABudgetOfAtMostSix() {
        HedgingPolicy policy = new HedgingPolicy(r -> true);
        assertFalse(policy.mayHedge(request));
        for (int i = 0; i < 5; i++) {
            Attempt attempt = request.addAttempt(endpoint, 0);
            policy.recordLost(attempt);
            attempt.markLost();
            policy.recordLost(attempt);
        }
        for (int i = 0; i < 6; i++) {
            assertTrue(policy.mayHedge(request));
            policy.recordHedge();
        }
        assertFalse(policy.mayHedge(request));
    }

    @Test
    void aRequestThatCannotMeetItsObjectiveIsNotHedged() {
        HedgingPolicy policy = new HedgingPolicy(r -> false);
        policy.recordLost(request.addAttempt(endpoint, 0));
        assertFalse(policy.mayHedge(request));
    }
}
