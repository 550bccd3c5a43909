package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;

/** Selection of the endpoint for a request. */
class EndpointSelectorTest extends SchedulerFixture {
    @Test
    void ownRequestsInFlightReduceAnEndpointsFreeCapacity() {
        at(1, Samples.endpoints(8));
        answerProbes(3, 0, 8);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            used.add(send("read").endpointId());
        }
        assertTrue(used.size() >= 3, "four requests were all sent to " + used);
    }

    /** Guards against a dispatcher that starts during a rolling update and avoids all endpoints in slow start. */
    @Test
    void aDispatcherThatHasJustStartedUsesWarmingEndpointsToo() {
        at(
                10 * Samples.SECOND,
                new EndpointList(
                        true,
                        List.of(
                                Samples.entry("w0", EndpointState.READY, 0, "north", 0),
                                Samples.entry("w1", EndpointState.READY, 8 * Samples.SECOND, "north", 0))));
        answerProbes(2, 0, 2);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            now += 100 * Samples.MS;
            answerProbes(2, 0, 2);
            Samples.actionsOfType(
                            Dispatch.class,
                            at(
                                    now,
                                    new Arrival(
                                            "c" + i,
                                            "read",
                                            "red",
                                            5 * Samples.SECOND,
                                            1,
                                            0,
                                            100 * Samples.MS,
                                            null,
                                            false)))
                    .forEach(d -> used.add(d.endpointId()));
        }
        assertEquals(Set.of("w0", "w1"), used);
    }

    @Test
    void theOwnZoneComesFirstWhileItHasRoom() {
        at(1, Samples.endpoints(8));
        answerProbes(1, 0, 8);
        at(now, Samples.probeAnswer("w1", 9, 0));
        assertEquals(0, Integer.parseInt(send("read").endpointId().substring(1)) % 2);
    }

    @Test
    void anOverloadedEndpointIsTriedAfterOthers() {
        at(1, Samples.endpoints(8));
        answerProbes(0, 0, 8);
        Dispatch first = send("read");
        at(now + 1, Samples.outcome(first, 0, AttemptResult.OVERLOADED));
        assertFalse(send("read").endpointId().equals(first.endpointId()));
    }

    @Test
    void aRequestWithAKeyProbesAndUsesItsPreferredEndpoints() {
        at(1, Samples.endpoints(8));
        Arrival keyed = new Arrival("k0", "read", "red", 5 * Samples.SECOND, 1, 0, 0, "album", false);
        List<Action> first = at(2, keyed);
        List<Probe> probes = Samples.actionsOfType(Probe.class, first);
        assertFalse(probes.isEmpty());
        assertEquals(List.of(), Samples.actionsOfType(Dispatch.class, first));
        probes.forEach(p -> at(3, Samples.probeAnswer(p.endpoint(), 2, 0)));
        Dispatch sent = Samples.actionsOfType(Dispatch.class, at(2 + 13 * Samples.MS, new Timer("hold")))
                .get(0);
        RequestScheduler otherDispatcher = new RequestScheduler(Samples.settings(2, 3, true), 99);
        otherDispatcher.handle(1, List.of(Samples.endpoints(8)));
        otherDispatcher.handle(2, List.of(keyed));
        probes.forEach(p -> otherDispatcher.handle(3, List.of(Samples.probeAnswer(p.endpoint(), 2, 0))));
        assertEquals(
                sent.endpointId(),
                Samples.actionsOfType(
                                Dispatch.class, otherDispatcher.handle(2 + 13 * Samples.MS, List.of(new Timer("hold"))))
                        .get(0)
                        .endpointId());
    }

    @Test
    void aNewEndpointReceivesNoBurst() {
        at(1, Samples.endpoints(8));
        answerProbes(2, 0, 8);
        at(2, new EndpointList(false, List.of(Samples.entry("fresh", EndpointState.READY, 2, "north", 9))));
        at(3, Samples.probeAnswer("fresh", 9, 0));
        for (int i = 0; i < 20; i++) {
            assertFalse(send("read").endpointId().equals("fresh"));
        }
    }

    @Test
    void aDrainingOrUnlistedEndpointReceivesNoRequest() {
        at(1, Samples.endpoints(2));
        at(2, new EndpointList(false, List.of(Samples.entry("w0", EndpointState.DRAINING, 0, "north", 0))));
        assertEquals("w1", send("read").endpointId());
        at(now, new EndpointList(true, List.of()));
        assertEquals(
                1,
                Samples.actionsOfType(Reject.class, at(now + 1, Samples.arrival("none", "book", "red")))
                        .size());
    }

    @Test
    void theLastSlotOfAKindIsReservedForMoreValuableRequestsBoundToIt() {
        SchedulerSettings defaults = Samples.settings(0, 3, true);
        RequestClass any = Samples.requestClass("any", Idempotency.IDEMPOTENT, Scope.ALL, 2);
        RequestClass bound = new RequestClass(
                "bound",
                Idempotency.IDEMPOTENT,
                Scope.ALL,
                0,
                200 * Samples.MS,
                2,
                5 * Samples.SECOND,
                8,
                0,
                false,
                1,
                0);
        RequestScheduler schedulerWithKinds = new RequestScheduler(
                new SchedulerSettings(
                        0,
                        3,
                        defaults.zone(),
                        List.of(any, bound),
                        defaults.tenants(),
                        List.of("box", "rare"),
                        false,
                        false,
                        defaults.loadReporting(),
                        0,
                        defaults.limits(),
                        defaults.rules()),
                5);
        schedulerWithKinds.handle(
                1,
                List.of(new EndpointList(
                        true,
                        List.of(
                                Samples.entry("w0", EndpointState.READY, 0, "north", 0),
                                new EndpointEntry("w1", EndpointState.READY, 0, 0, "rare", "north", 1)))));
        schedulerWithKinds.handle(2, List.of(Samples.probeAnswer("w0", 1, 0), Samples.probeAnswer("w1", 1.5, 0)));
        assertEquals(
                "w0",
                Samples.actionsOfType(
                                Dispatch.class,
                                schedulerWithKinds.handle(3, List.of(Samples.arrival("a", "any", "red"))))
                        .get(0)
                        .endpointId());
        assertEquals(
                "w1",
                Samples.actionsOfType(
                                Dispatch.class,
                                schedulerWithKinds.handle(3, List.of(Samples.arrival("b", "bound", "red"))))
                        .get(0)
                        .endpointId());
    }
}
