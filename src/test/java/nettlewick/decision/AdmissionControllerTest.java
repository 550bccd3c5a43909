package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which requests are shed when no endpoint has room. */
class AdmissionControllerTest extends SchedulerFixture {
    /** Guards against high-priority requests queueing at a slow endpoint until all of them miss their objective. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20})
    void aHighPriorityRequestWaitsOnlyWhileItCanMeetItsObjective(int waiting) {
        SchedulerSettings base = Samples.settings(0, 1, true);
        RequestScheduler single = new RequestScheduler(
                new SchedulerSettings(
                        0,
                        1,
                        base.zone(),
                        List.of(
                                Samples.requestClass("read", Idempotency.IDEMPOTENT, Scope.ALL, 2),
                                Samples.requestClass("valuable", Idempotency.NON_IDEMPOTENT, Scope.ALL, 20)),
                        base.tenants(),
                        base.kinds(),
                        false,
                        false,
                        base.loadReporting(),
                        0,
                        base.limits(),
                        base.rules()),
                1);
        single.handle(
                1,
                List.of(
                        Samples.endpoints(1),
                        Samples.probeAnswer("w0", 2, 0),
                        Samples.arrival("a", "read", "red"),
                        Samples.arrival("b", "valuable", "red")));
        long later = Samples.SECOND / 2;
        single.handle(
                later,
                List.of(
                        new Outcome("a", 0, "w0", AttemptResult.SERVED, later, true, null),
                        new Outcome("b", 0, "w0", AttemptResult.SERVED, later, true, null),
                        Samples.probeAnswer("w0", 0, waiting),
                        Samples.probeAnswer("w0", 0, waiting)));
        List<Action> actions = single.handle(
                later + 1,
                List.of(new Arrival("c", "valuable", "red", 5 * Samples.SECOND, 1, 0, 300 * Samples.MS, null, false)));
        assertEquals(waiting > 0, actions.stream().anyMatch(Reject.class::isInstance), actions.toString());
    }

    @Test
    void aRequestThatWouldMissItsObjectiveIsRejectedEarly() {
        at(1, Samples.endpoints(8));
        answerProbes(2, 0, 8);
        for (int i = 0; i < 20; i++) {
            at(now + 100 * Samples.MS, Samples.outcome(send("read"), 0, AttemptResult.SERVED));
            answerProbes(2, 0, 8);
        }
        for (int i = 0; i < 4; i++) {
            at(now + 300 * Samples.MS, new Timer("beat"));
            answerProbes(0, 40, 8);
        }
        List<Action> actions = at(now + 1, Samples.arrival("late", "read", "red"));
        assertEquals(1, Samples.actionsOfType(Reject.class, actions).size(), actions.toString());
    }

    @Test
    void aTenantOverItsQuotaIsRejectedBeforeOneWithin() {
        at(1, Samples.endpoints(8));
        answerProbes(1, 0, 8);
        int[] rejected = new int[2];
        int capacity = 0;
        for (int step = 0; step < 400; step++) {
            at(now + 25 * Samples.MS);
            answerProbes(0, 0, 8);
            capacity = 3;
            if (step % 4 == 0) {
                at(now, new Timer("beat"));
            }
            for (int i = 0; i < 5; i++) {
                String tenant = i == 0 && step % 2 == 0 ? "blue" : "red";
                List<Action> actions = at(now, Samples.arrival("t" + requestCount++, "book", tenant));
                if (step > 200) {
                    rejected[tenant.equals("red") ? 0 : 1] +=
                            Samples.actionsOfType(Reject.class, actions).size();
                }
                for (int attempt = 0; !actions.isEmpty() && actions.get(0) instanceof Dispatch d; attempt++) {
                    actions = at(
                            now,
                            Samples.outcome(
                                    d, attempt, capacity-- > 0 ? AttemptResult.SERVED : AttemptResult.OVERLOADED));
                }
            }
        }
        assertTrue(rejected[0] > 100, "rejections of the tenant over its quota: " + rejected[0]);
        assertTrue(
                rejected[1] < 25 && rejected[1] < rejected[0] / 8,
                "rejections of the tenant within its quota: " + rejected[1]);
    }
}
