package nettlewick.decision;

import static nettlewick.decision.Samples.MS;
import static nettlewick.decision.Samples.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.LoadReporting;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Rules;
import nettlewick.decision.SchedulerSettings.Scope;
import nettlewick.decision.SchedulerSettings.Tenant;
import org.junit.jupiter.api.Test;

/**
 * Decisions at a site whose reports include memory but no queue, whose requests run for seconds, and which doesn't stop
 * cancelled requests. The module must rely on its settings and on observed attempts, not on assumptions that hold at
 * another site.
 */
class QueuelessSiteTest {
    private static final double NOT_REPORTED = Double.NaN;
    private long now = SECOND;

    private static RequestClass requestClass(
            String name, Idempotency idempotency, long objective, double objectiveStretch, double priority) {
        return new RequestClass(
                name,
                idempotency,
                Scope.ZONE,
                30 * SECOND,
                objective,
                objectiveStretch,
                25 * SECOND,
                priority,
                0,
                false,
                -1,
                0);
    }

    private final RequestScheduler scheduler = new RequestScheduler(
            new SchedulerSettings(
                    0,
                    1,
                    "north",
                    List.of(
                            requestClass("light", Idempotency.IDEMPOTENT, 400 * MS, 1.75, 3),
                            requestClass("heavy", Idempotency.IDEMPOTENT, 1500 * MS, 2.5, 5),
                            requestClass("dues", Idempotency.KEYED, 1500 * MS, 2.5, 5),
                            requestClass("transfer", Idempotency.NON_IDEMPOTENT, 1500 * MS, 1.75, 10)),
                    List.of(new Tenant("red", 1, 10)),
                    List.of("box"),
                    false,
                    false,
                    LoadReporting.ON_PROBE,
                    SECOND,
                    new Limits(5, true, true, true, true, false, 2 * SECOND),
                    new Rules(5 * MS, 10 * SECOND, 9 * SECOND, 0.3, 250 * MS, SECOND, 3)),
            7);

    private List<Action> handle(long time, Event... events) {
        now = time;
        return scheduler.handle(now, List.of(events));
    }

    private static Arrival request(String id, String requestClass, long hint, double slots, double memory) {
        return new Arrival(id, requestClass, "red", 25 * SECOND, slots, memory, hint, null, false);
    }

    private static ProbeAnswer report(String endpoint, double free, double memory) {
        return new ProbeAnswer(
                endpoint, AttemptResult.SERVED, MS, new EndpointLoad(free, memory, NOT_REPORTED, NOT_REPORTED, 0.5));
    }

    private String dispatchedEndpoint(List<Action> actions) {
        List<Dispatch> dispatches = Samples.actionsOfType(Dispatch.class, actions);
        return dispatches.isEmpty() ? null : dispatches.get(0).endpointId();
    }

    private void listEndpoints(String... zones) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < zones.length; i++) {
            entries.add(Samples.entry("w" + i, EndpointState.READY, 0, zones[i], i));
        }
        handle(now, new EndpointList(true, entries));
    }

    /** Runs a request at {@code endpoint} that ends after {@code run}, and advances the clock by that time. */
    private void runRequest(String id, String requestClass, String endpoint, long hint, long run) {
        List<Action> actions = handle(now, report(endpoint, 4, 4), request(id, requestClass, hint, 1, 0.5));
        assertEquals(endpoint, dispatchedEndpoint(actions));
        handle(now + MS, new Progress(id, 0, endpoint, 0));
        handle(now + run, new Outcome(id, 0, endpoint, AttemptResult.SERVED, run + MS, true, null));
    }

    /** Guards against taking an endpoint for free while its first queued request does not fit in memory. */
    @Test
    void anEndpointWhoseFirstQueuedRequestDoesNotFitHasNoFreeCapacity() {
        listEndpoints("north", "north");
        assertEquals(
                "w0",
                dispatchedEndpoint(
                        handle(now, report("w0", 4, 4), report("w1", 0, 4), request("a", "heavy", 3 * SECOND, 1, 3))));
        handle(now + MS, new Progress("a", 0, "w0", 0));
        assertEquals(
                "w0",
                dispatchedEndpoint(
                        handle(now, report("w0", 3, 4), report("w1", 0, 4), request("b", "heavy", 3 * SECOND, 1, 3))));
        for (int i = 0; i < 5; i++) {
            handle(now + 100 * MS, report("w0", 3, 1), report("w1", 1.2, 4), new Timer("beat"));
        }
        assertEquals(
                "w1",
                dispatchedEndpoint(handle(now, request("c", "heavy", 3 * SECOND, 1, 0.5))),
                "c would be queued behind b at w0");
    }

    /** Guards against estimating the wait behind heavy requests by the run time of light ones. */
    @Test
    void aLightRequestBehindHeavyOnesIsRejectedAtOnce() {
        listEndpoints("north");
        for (int i = 0; i < 6; i++) {
            runRequest("h" + i, "heavy", "w0", 4 * SECOND, 4 * SECOND);
        }
        runRequest("l", "light", "w0", 200 * MS, 200 * MS);
        for (int i = 0; i < 7; i++) {
            handle(now, report("w0", Math.max(0, 4 - i), 4), request("q" + i, "transfer", 4 * SECOND, 1, 0.1));
        }
        List<Action> actions = handle(now, report("w0", 0, 4), request("late", "light", 200 * MS, 1, 0.1));
        assertEquals(1, Samples.actionsOfType(Reject.class, actions).size(), actions.toString());
    }

    /** Guards against sending a request to a slowed endpoint of the own zone if another zone would answer in time. */
    @Test
    void aRequestThatWouldBeLateInItsZoneGoesToAnother() {
        listEndpoints("north", "south");
        for (int i = 0; i < 6; i++) {
            runRequest("f" + i, "heavy", "w1", SECOND, SECOND);
        }
        now += 2 * SECOND;
        for (int i = 0; i < 6; i++) {
            runRequest("s" + i, "heavy", "w0", SECOND, 5 * SECOND);
        }
        List<Action> actions =
                handle(now, report("w0", 4, 4), report("w1", 4, 4), request("t", "transfer", 4 * SECOND, 1, 0.1));
        assertEquals("w1", dispatchedEndpoint(actions));
    }

    /** A request that runs 23 times its cost hint but shows progress is neither lost nor the fault of its endpoint. */
    @Test
    void aRequestRunningManyTimesItsHintIsNeitherLostNorAFault() {
        listEndpoints("north", "north");
        handle(now, report("w0", 4, 4), report("w1", 0, 4));
        assertEquals("w0", dispatchedEndpoint(handle(now, request("tail", "heavy", SECOND, 1, 0.1))));
        handle(now + MS, new Progress("tail", 0, "w0", 0));
        for (int second = 1; second <= 22; second++) {
            List<Action> actions = handle(
                    now + SECOND,
                    report("w0", 3, 3.5),
                    report("w1", 0, 4),
                    new Timer("beat"),
                    new Progress("tail", 0, "w0", second / 23.0));
            assertEquals(List.of(), Samples.actionsOfType(Cancel.class, actions));
            assertEquals(List.of(), Samples.actionsOfType(Dispatch.class, actions));
        }
        assertEquals(0, scheduler.endpointCounts().unavailable());
        handle(now + SECOND, new Outcome("tail", 0, "w0", AttemptResult.SERVED, 23 * SECOND, true, null));
        assertEquals(
                "w0",
                dispatchedEndpoint(handle(now, report("w0", 4, 4), request("next", "transfer", SECOND, 1, 0.1))),
                "the endpoint with free capacity is used");
    }

    /** A dependency that slows all endpoints at once leads to no ejections, and to no rejections at free capacity. */
    @Test
    void aSlowdownOfAllEndpointsEjectsNone() {
        listEndpoints("north", "north", "south");
        int rejected = 0;
        for (int round = 0; round < 20; round++) {
            for (int i = 0; i < 3; i++) {
                String id = round + "-" + i;
                List<Action> actions = handle(
                        now + 10 * MS,
                        report("w0", 4, 4),
                        report("w1", 4, 4),
                        report("w2", 4, 4),
                        request(id, i == 0 ? "light" : i == 1 ? "dues" : "transfer", 1500 * MS, 1, 0.1));
                rejected += Samples.actionsOfType(Reject.class, actions).size();
                String endpoint = dispatchedEndpoint(actions);
                handle(now + MS, new Progress(id, 0, endpoint, 0));
                for (int second = 1; second <= 3; second++) {
                    handle(now + SECOND, new Progress(id, 0, endpoint, second / 3.5), new Timer("beat"));
                }
                handle(now + 450 * MS, new Outcome(id, 0, endpoint, AttemptResult.SERVED, 3451 * MS, true, null));
            }
        }
        assertEquals(0, rejected, "all endpoints run 2.3 times as long as hinted and have free capacity");
        assertEquals(0, scheduler.endpointCounts().unavailable());
    }

    /** Guards against repeatedly predicting waits that are too short because reports do not include the queue. */
    @Test
    void predictedWaitsAreCorrectedByObservedWaits() {
        WaitCalibration calibration = new WaitCalibration();
        assertEquals(1, calibration.factor());
        for (int i = 0; i < 40; i++) {
            calibration.add(500 * MS, 1500 * MS);
        }
        assertEquals(3, calibration.factor(), 0.3);
        for (int i = 0; i < 300; i++) {
            calibration.add(500 * MS, 250 * MS);
        }
        assertEquals(0.5, calibration.factor(), 0.1);
    }
}
