package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.stubs.EndpointModel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each rule is broken by hand once: an audit that never finds anything would prove nothing. */
class AuditTest {
    private final Scenario scenario = Scenario.parse("x.conf", ScenarioTest.text(""));
    private final Scenario.JobClass unsafe = new Scenario.JobClass("mark-submit", 1, 40, 400, 4000);
    private final Scenario.JobClass keyed = new Scenario.JobClass("save-run", 1, 40, 400, 4000);
    private final Scenario.JobClass safe = new Scenario.JobClass("step-view", 1, 40, 400, 4000);
    private final EndpointModel a =
            new EndpointModel("s0", "a", 1, scenario.world().runner(), Double.NEGATIVE_INFINITY);
    private final EndpointModel b =
            new EndpointModel("s1", "b", 1, scenario.world().runner(), Double.NEGATIVE_INFINITY);
    private InvariantChecker audit;

    @BeforeEach
    void open() {
        audit = new InvariantChecker(scenario, 2);
    }

    private void send(String id, EndpointModel to, double now) {
        audit.arrived(id, to, EndpointModel.Admission.RUNS, now);
        audit.ran(id, to, now);
    }

    private void finds(String rule) {
        List<String> breaks = audit.breaks();
        assertEquals(1, breaks.size(), breaks::toString);
        assertTrue(breaks.get(0).contains(": " + rule + " ("), breaks.get(0));
    }

    @Test
    void anUnsafeJobThatRunsTwiceUnderTwoIds() {
        audit.asked("k-1", "k", unsafe, 0, 0, "red");
        send("k-1", a, 10);
        audit.asked("k-2", "k", unsafe, 1, 20, "red");
        send("k-2", b, 30);
        finds("twice");
        assertTrue(audit.breaks().get(0).startsWith("30 ms k-2"), "time and job");
    }

    @Test
    void aKeyedRepeatInAnotherZone() {
        audit.asked("k-1", "k", keyed, 0, 0, "red");
        send("k-1", a, 10);
        send("k-1", b, 20);
        finds("repeat");
    }

    /** Guards against a break that is none: a send that was turned away has never run. */
    @Test
    void aKeyedJobThatWasTurnedAwayMayGoAnywhere() {
        audit.asked("k-1", "k", keyed, 0, 0, "red");
        audit.arrived("k-1", a, EndpointModel.Admission.DRAINS, 10);
        send("k-1", b, 20);
        assertEquals(List.of(), audit.breaks());
    }

    @Test
    void aKeyedRepeatAfterItsWindow() {
        audit.asked("k-1", "k", keyed, 0, 0, "red");
        send("k-1", a, 10);
        send("k-1", a, 10 + scenario.load().window());
        assertEquals(List.of(), audit.breaks());
        audit.asked("k-2", "k", keyed, 0, 0, "red");
        audit.arrived(
                "k-2", a, EndpointModel.Admission.RUNS, 11 + scenario.load().window() + InvariantChecker.WAY);
        finds("repeat");
    }

    @Test
    void moreAttemptsThanTheCap() {
        audit.asked("k-1", "k", safe, 0, 0, "red");
        for (int i = 0; i < 3; i++) {
            send("k-1", a, i);
        }
        finds("attempts");
    }

    @Test
    void aSendToADrainingRunnerThatWasToldOf() {
        audit.toldDrain(0, "s0", 100);
        audit.asked("k-1", "k", safe, 0, 4000, "red");
        audit.asked("k-2", "k2", safe, 1, 4000, "red");
        send("k-2", a, 4000);
        send("k-1", a, 3000);
        assertEquals(List.of(), audit.breaks());
        send("k-1", a, 100 + scenario.world().grace() + InvariantChecker.WAY + 1);
        finds("drain");
    }

    @Test
    void anAnswerThatNeverCameFromADispatcherThatLived() {
        audit.asked("k-1", "k", safe, 0, 0, "red");
        audit.asked("k-2", "k2", safe, 1, 0, "red");
        audit.excuse(1, 100, 200, false);
        audit.close(4000 + InvariantChecker.SPARE);
        assertEquals(List.of(), audit.breaks());
        audit.close(4001 + InvariantChecker.SPARE);
        finds("one answer");
    }

    @Test
    void aConnectionThatBreaksUnderALivingDispatcher() {
        audit.asked("k-1", "k", safe, 0, 0, "red");
        audit.excuse(0, 0, 10, true);
        audit.answered("k-1", 0, "closed", 20);
        finds("one answer");
    }

    @Test
    void aJobThatNoClientSent() {
        send("x-1", a, 5);
        finds("invented");
    }

    /** Guards against a break that is none: on a busy machine a process dies long after its signal was sent. */
    @Test
    void aKilledDispatcherIsExcusedUntilItsDeathIsSeenAndNoticed() {
        audit.killed(0, 1000);
        audit.asked("k-1", "k", safe, 0, 4000, "red");
        audit.answered("k-1", 0, "Connection reset", 5000);
        audit.ended(0, 5000, 1000);
        audit.asked("k-2", "k", safe, 0, 5500, "red");
        audit.answered("k-2", 0, "Connection reset", 5600);
        assertEquals(List.of(), audit.breaks());
        audit.asked("k-3", "k", safe, 0, 6001 + InvariantChecker.WAY, "red");
        audit.answered("k-3", 0, "Connection reset", 6100 + InvariantChecker.WAY);
        finds("one answer");
    }

    /** Guards against a death that nobody ordered and that a check passes over. */
    @Test
    void aDispatcherThatEndsByItselfIsNotExcused() {
        audit.asked("k-1", "k", safe, 0, 4000, "red");
        audit.ended(0, 4100, 1000);
        audit.answered("k-1", 0, "Connection reset", 4100);
        finds("one answer");
    }
}
