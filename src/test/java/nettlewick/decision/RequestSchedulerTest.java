package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.Subscribe;
import nettlewick.decision.Event.Abandoned;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.EndpointListFailed;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.StreamStarted;
import nettlewick.decision.Event.Timer;
import org.junit.jupiter.api.Test;

/** Subscriptions, the probe pool across zones, and input that is unknown, repeated or out of range. */
class RequestSchedulerTest extends SchedulerFixture {
    /** Guards against endpoints of other zones that no dispatcher probes, and that idle while probed ones are full. */
    @Test
    void theProbePoolOfASmallZoneIsFilledFromOtherZones() {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            entries.add(Samples.entry("w" + i, EndpointState.READY, 0, i < 3 ? "north" : "south" + i % 3, i));
        }
        at(1, new EndpointList(true, entries));
        Set<String> probed = new HashSet<>();
        for (int tick = 1; tick <= 60; tick++) {
            for (Probe p : Samples.actionsOfType(
                    Probe.class,
                    at(1 + tick * 100 * Samples.MS, new Timer("beat"), Samples.arrival("p" + tick, "read", "red")))) {
                probed.add(p.endpoint());
                at(now, Samples.probeAnswer(p.endpoint(), 2, 0));
            }
        }
        assertEquals(12, probed.size());
    }

    @Test
    void aFailedSubscriptionIsRenewed() {
        SchedulerSettings base = Samples.settings(0, 3, true);
        RequestScheduler requesting = new RequestScheduler(
                new SchedulerSettings(
                        0,
                        3,
                        base.zone(),
                        base.classes(),
                        base.tenants(),
                        base.kinds(),
                        true,
                        false,
                        base.loadReporting(),
                        0,
                        base.limits(),
                        base.rules()),
                5);
        assertEquals(
                1,
                Samples.actionsOfType(Subscribe.class, requesting.handle(1, List.of(Samples.endpoints(2))))
                        .size());
        requesting.handle(2, List.of(new EndpointListFailed()));
        assertEquals(
                1,
                Samples.actionsOfType(
                                Subscribe.class, requesting.handle(2 * Samples.SECOND, List.of(new Timer("beat"))))
                        .size());
    }

    @Test
    void unknownAndRepeatedInputChangesNothing() {
        at(
                1,
                new EndpointList(
                        true,
                        List.of(
                                Samples.entry("w0", EndpointState.READY, 0, null, 0),
                                Samples.entry("w0", EndpointState.READY, 0, null, 0),
                                new EndpointEntry("x", EndpointState.READY, 0, 0, "novel", "moon", 1))));
        at(
                1,
                new Abandoned("unknown"),
                new Outcome("unknown", 3, "w9", AttemptResult.SERVED, 1, true, null),
                new ProbeAnswer("w9", AttemptResult.TIMEOUT, 1, null),
                new Progress("unknown", 0, "w9", 1),
                new StreamStarted("unknown", 0),
                new Timer("novel"),
                new EndpointListFailed());
        assertEquals(
                1,
                Samples.actionsOfType(
                                Reject.class, at(1, new Arrival("odd", "novel", "nobody", 5, 1, 0, 0, null, false)))
                        .size());
        Dispatch sent = Samples.actionsOfType(Dispatch.class, at(1, Samples.arrival("same", "read", "nobody")))
                .get(0);
        assertEquals(
                List.of(), at(0, Samples.arrival("same", "read", "nobody")), "an arrival with a known id is ignored");
        at(0, Samples.outcome(sent, 7, AttemptResult.SERVED), Samples.outcome(sent, 0, AttemptResult.SERVED));
        assertEquals(
                List.of(),
                Samples.actionsOfType(Dispatch.class, at(1, Samples.outcome(sent, 0, AttemptResult.BROKEN))));
    }

    @Test
    void settingsOutOfRangeAreNamedInTheError() {
        SchedulerSettings base = Samples.settings(0, 3, true);
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class,
                () -> new SchedulerSettings(
                        3,
                        3,
                        base.zone(),
                        base.classes(),
                        base.tenants(),
                        base.kinds(),
                        false,
                        false,
                        base.loadReporting(),
                        0,
                        base.limits(),
                        base.rules()));
        assertEquals("setting rank makes no sense: 3", e.getMessage());
        assertThrows(
                IllegalArgumentException.class,
                () -> new SchedulerSettings(
                        0,
                        3,
                        base.zone(),
                        List.of(),
                        base.tenants(),
                        base.kinds(),
                        false,
                        false,
                        base.loadReporting(),
                        0,
                        base.limits(),
                        base.rules()));
    }
}
