package nettlewick.decision;

import static nettlewick.decision.Samples.MS;
import static nettlewick.decision.Samples.SECOND;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;

/** Which requests may be retried, and which may be rejected after an attempt. */
class RetryPolicyTest {
    private final SchedulerContext context = SchedulerContext.create(Samples.settings(0, 1, true), 1);
    private final EndpointPools pools = new EndpointPools(1);
    private final RequestStatistics statistics =
            new RequestStatistics(context.settings().classes().size());
    private final LatencyEstimator latency =
            new LatencyEstimator(context.clock(), pools, statistics, new CapacityEstimator(context, pools, statistics));
    private final RetryPolicy policy = new RetryPolicy(context.settings().limits(), context.clock(), pools, latency);
    private final Endpoint endpoint = new Endpoint("w0");

    private static ScheduledRequest requestWithLateValue(Idempotency idempotency, Scope scope) {
        RequestClass withLateValue =
                new RequestClass("c", idempotency, scope, 4 * SECOND, 200 * MS, 2, 5 * SECOND, 2, 1, false, -1, 0);
        return new ScheduledRequest(Samples.arrival("a", "c", "red"), withLateValue, 0, null, 0);
    }

    private Attempt addEndedAttempt(ScheduledRequest request, AttemptResult result) {
        Attempt attempt = request.addAttempt(endpoint, 0);
        attempt.end(result);
        return attempt;
    }

    @Test
    void aNonIdempotentRequestIsRetriedOnlyIfItNeverRan() {
        ScheduledRequest request = requestWithLateValue(Idempotency.NON_IDEMPOTENT, Scope.ALL);
        addEndedAttempt(request, AttemptResult.OVERLOADED);
        assertTrue(policy.mayRetry(request));
        assertTrue(RetryPolicy.isSafeToReject(request));
        addEndedAttempt(request, AttemptResult.BROKEN);
        assertFalse(policy.mayRetry(request));
        assertFalse(RetryPolicy.isSafeToReject(request));
    }

    @Test
    void aKeyedRequestIsRetriedWithinItsDedupWindow() {
        ScheduledRequest request = requestWithLateValue(Idempotency.KEYED, Scope.ZONE);
        addEndedAttempt(request, AttemptResult.TIMEOUT);
        context.clock().advanceTo(4 * SECOND);
        assertTrue(policy.mayRetry(request));
        assertFalse(RetryPolicy.isSafeToReject(request), "the client's retry may reach another zone");
        context.clock().advanceTo(4 * SECOND + 1);
        assertFalse(policy.mayRetry(request));
        ScheduledRequest sharedByAll = requestWithLateValue(Idempotency.KEYED, Scope.ALL);
        addEndedAttempt(sharedByAll, AttemptResult.TIMEOUT);
        assertTrue(RetryPolicy.isSafeToReject(sharedByAll));
    }

    @Test
    void attemptsAreLimitedInNumberInFlightAndInTime() {
        ScheduledRequest request = requestWithLateValue(Idempotency.IDEMPOTENT, Scope.ALL);
        request.addAttempt(endpoint, 0);
        assertTrue(policy.mayRetry(request), "one hedged request");
        request.addAttempt(endpoint, 0);
        assertFalse(policy.mayRetry(request));
        request.attempts().forEach(attempt -> attempt.end(AttemptResult.ERROR));
        addEndedAttempt(request, AttemptResult.ERROR);
        assertTrue(policy.mayRetry(request));
        addEndedAttempt(request, AttemptResult.ERROR);
        assertFalse(policy.mayRetry(request), "four attempts");
        context.clock().advanceTo(5 * SECOND);
        assertFalse(policy.mayRetry(requestWithLateValue(Idempotency.IDEMPOTENT, Scope.ALL)), "at the deadline");
    }

    @Test
    void aRequestWithoutLateValueIsNotRetriedPastItsObjective() {
        ScheduledRequest request = Samples.request("read", Idempotency.IDEMPOTENT, Scope.ALL);
        context.clock().advanceTo(200 * MS);
        assertTrue(policy.mayRetry(request));
        context.clock().advanceTo(200 * MS + 1);
        assertFalse(policy.mayRetry(request));
    }
}
