package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.stubs.EndpointModel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Violates each rule once, since a checker that never reports anything would prove nothing. */
class InvariantCheckerTest {
    private final Scenario scenario = Scenario.parse("x.conf", ScenarioTest.scenarioText(""));
    private final Scenario.RequestClass nonIdempotent = new Scenario.RequestClass("mark-submit", 1, 40, 400, 4000);
    private final Scenario.RequestClass keyed = new Scenario.RequestClass("save-run", 1, 40, 400, 4000);
    private final Scenario.RequestClass idempotent = new Scenario.RequestClass("step-view", 1, 40, 400, 4000);
    private final EndpointModel endpointA =
            new EndpointModel("s0", "a", 1, scenario.fleet().endpoint(), Double.NEGATIVE_INFINITY);
    private final EndpointModel endpointB =
            new EndpointModel("s1", "b", 1, scenario.fleet().endpoint(), Double.NEGATIVE_INFINITY);
    private InvariantChecker checker;

    @BeforeEach
    void createChecker() {
        checker = new InvariantChecker(scenario, 2);
    }

    private void deliver(String id, EndpointModel to, double now) {
        checker.attemptArrived(id, to, EndpointModel.Admission.RUNS, now);
        checker.executionStarted(id, to, now);
    }

    private void assertViolation(String rule) {
        List<String> breaks = checker.violations();
        assertEquals(1, breaks.size(), breaks::toString);
        assertTrue(breaks.get(0).contains(": " + rule + " ("), breaks.get(0));
    }

    @Test
    void aNonIdempotentRequestThatRunsTwiceUnderTwoIds() {
        checker.requestSent("k-1", "k", nonIdempotent, 0, 0, "red");
        deliver("k-1", endpointA, 10);
        checker.requestSent("k-2", "k", nonIdempotent, 1, 20, "red");
        deliver("k-2", endpointB, 30);
        assertViolation("twice");
        assertTrue(checker.violations().get(0).startsWith("30 ms k-2"), "time and request");
    }

    @Test
    void aKeyedRetryInAnotherZone() {
        checker.requestSent("k-1", "k", keyed, 0, 0, "red");
        deliver("k-1", endpointA, 10);
        deliver("k-1", endpointB, 20);
        assertViolation("repeat");
    }

    /** A rejected attempt has not run and must not be reported as a violation by a later one. */
    @Test
    void aRejectedKeyedRequestMayGoToAnyZone() {
        checker.requestSent("k-1", "k", keyed, 0, 0, "red");
        checker.attemptArrived("k-1", endpointA, EndpointModel.Admission.DRAINS, 10);
        deliver("k-1", endpointB, 20);
        assertEquals(List.of(), checker.violations());
    }

    @Test
    void aKeyedRetryAfterTheDeduplicationWindow() {
        checker.requestSent("k-1", "k", keyed, 0, 0, "red");
        deliver("k-1", endpointA, 10);
        deliver("k-1", endpointA, 10 + scenario.load().dedupWindowMillis());
        assertEquals(List.of(), checker.violations());
        checker.requestSent("k-2", "k", keyed, 0, 0, "red");
        checker.attemptArrived(
                "k-2",
                endpointA,
                EndpointModel.Admission.RUNS,
                11 + scenario.load().dedupWindowMillis() + InvariantChecker.TRANSIT_TOLERANCE_MILLIS);
        assertViolation("repeat");
    }

    @Test
    void moreAttemptsThanTheCap() {
        checker.requestSent("k-1", "k", idempotent, 0, 0, "red");
        for (int i = 0; i < 3; i++) {
            deliver("k-1", endpointA, i);
        }
        assertViolation("attempts");
    }

    @Test
    void anAttemptAtAKnownDrainingEndpoint() {
        checker.drainSent(0, "s0", 100);
        checker.requestSent("k-1", "k", idempotent, 0, 4000, "red");
        checker.requestSent("k-2", "k2", idempotent, 1, 4000, "red");
        deliver("k-2", endpointA, 4000);
        deliver("k-1", endpointA, 3000);
        assertEquals(List.of(), checker.violations());
        deliver(
                "k-1",
                endpointA,
                100 + scenario.fleet().drainGraceMillis() + InvariantChecker.TRANSIT_TOLERANCE_MILLIS + 1);
        assertViolation("drain");
    }

    @Test
    void aMissingAnswerOfALiveDispatcher() {
        checker.requestSent("k-1", "k", idempotent, 0, 0, "red");
        checker.requestSent("k-2", "k2", idempotent, 1, 0, "red");
        checker.exempt(1, 100, 200, false);
        checker.checkUnanswered(4000 + InvariantChecker.ANSWER_TOLERANCE_MILLIS);
        assertEquals(List.of(), checker.violations());
        checker.checkUnanswered(4001 + InvariantChecker.ANSWER_TOLERANCE_MILLIS);
        assertViolation("one answer");
    }

    @Test
    void aConnectionClosedByALiveDispatcher() {
        checker.requestSent("k-1", "k", idempotent, 0, 0, "red");
        checker.exempt(0, 0, 10, true);
        checker.answered("k-1", 0, "closed", 20);
        assertViolation("one answer");
    }

    @Test
    void aRequestThatNoClientSent() {
        deliver("x-1", endpointA, 5);
        assertViolation("invented");
    }

    /** On a busy machine a process exits long after its signal was sent, which is not a violation. */
    @Test
    void aKilledDispatcherIsExemptUntilItsExitIsObservedAndNoticed() {
        checker.killed(0, 1000);
        checker.requestSent("k-1", "k", idempotent, 0, 4000, "red");
        checker.answered("k-1", 0, "Connection reset", 5000);
        checker.ended(0, 5000, 1000);
        checker.requestSent("k-2", "k", idempotent, 0, 5500, "red");
        checker.answered("k-2", 0, "Connection reset", 5600);
        assertEquals(List.of(), checker.violations());
        checker.requestSent("k-3", "k", idempotent, 0, 6001 + InvariantChecker.TRANSIT_TOLERANCE_MILLIS, "red");
        checker.answered("k-3", 0, "Connection reset", 6100 + InvariantChecker.TRANSIT_TOLERANCE_MILLIS);
        assertViolation("one answer");
    }

    /** A process that exits without a signal must not be exempt. */
    @Test
    void aCrashedDispatcherIsNotExempt() {
        checker.requestSent("k-1", "k", idempotent, 0, 4000, "red");
        checker.ended(0, 4100, 1000);
        checker.answered("k-1", 0, "Connection reset", 4100);
        assertViolation("one answer");
    }
}
