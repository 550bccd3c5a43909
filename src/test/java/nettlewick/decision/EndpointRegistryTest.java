package nettlewick.decision;

import static nettlewick.decision.Samples.SECOND;
import static nettlewick.decision.Samples.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Dispatcher.EndpointCounts;
import nettlewick.decision.Event.EndpointAdminChange;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.Timer;
import org.junit.jupiter.api.Test;

/** The effective endpoint list while operators disable and re-enable endpoints. */
class EndpointRegistryTest {
    private final EndpointRegistry registry = new EndpointRegistry();

    private EndpointEntry effectiveEntry(EndpointState state, long startedAt) {
        return registry.apply(new EndpointList(false, List.of(entry("w", state, startedAt, "north", 0))))
                .entries()
                .get(0);
    }

    @Test
    void aDisabledEndpointDrainsWhateverStateTheListGives() {
        assertEquals(
                List.of(),
                registry.apply(new EndpointAdminChange("w", true, SECOND)).entries());
        assertEquals(
                EndpointState.DRAINING, effectiveEntry(EndpointState.READY, 0).state());
        registry.apply(new EndpointAdminChange("w", true, 2 * SECOND));
        assertEquals(EndpointState.GONE, effectiveEntry(EndpointState.GONE, 0).state());
        assertEquals(new EndpointCounts(0, 0), registry.count(id -> true));
        assertEquals(
                EndpointState.DRAINING, effectiveEntry(EndpointState.READY, 0).state());
        assertEquals(new EndpointCounts(1, 1), registry.count(id -> true));
        assertEquals(
                EndpointState.READY,
                registry.apply(new EndpointAdminChange("w", false, 3 * SECOND))
                        .entries()
                        .get(0)
                        .state());
    }

    /** Guards against sending full load to an endpoint that was restarted while it was disabled. */
    @Test
    void aReenabledEndpointWarmsUp() {
        registry.apply(new EndpointAdminChange("w", true, SECOND));
        registry.apply(new EndpointAdminChange("w", false, 5 * SECOND));
        assertEquals(5 * SECOND, effectiveEntry(EndpointState.READY, 0).startedAt());
        assertEquals(5 * SECOND, effectiveEntry(EndpointState.READY, 4 * SECOND).startedAt());
        assertEquals(6 * SECOND, effectiveEntry(EndpointState.READY, 6 * SECOND).startedAt());
        assertEquals(
                EndpointState.DRAINING,
                effectiveEntry(EndpointState.DRAINING, 0).state());
    }

    /** Guards against a re-enabled endpoint staying unused while others have more free capacity. */
    @Test
    void aReenabledEndpointReceivesTheNextIdempotentRequest() {
        Dispatcher dispatcher = Dispatcher.create(Samples.settings(0, 1, true), 1);
        dispatcher.handle(
                1,
                List.of(
                        Samples.endpoints(4),
                        Samples.probeAnswer("w0", 9, 0),
                        Samples.probeAnswer("w2", 9, 0),
                        new EndpointAdminChange("w1", true, 1),
                        Samples.arrival("a", "read", "red")));
        List<Action> actions = dispatcher.handle(
                SECOND,
                List.of(
                        new EndpointAdminChange("w1", false, SECOND),
                        Samples.probeAnswer("w0", 9, 0),
                        Samples.arrival("b", "book", "red"),
                        Samples.arrival("c", "read", "red"),
                        Samples.arrival("d", "read", "red")));
        assertEquals(
                List.of(false, true, false),
                Samples.actionsOfType(Dispatch.class, actions).stream()
                        .map(d -> d.endpointId().equals("w1"))
                        .toList());
    }

    /**
     * Guards against mistaking the load of one endpoint for another's when different endpoints are disabled at
     * different dispatchers.
     */
    @Test
    void gossipIdentifiesEndpointsIndependentlyOfDisabledOnes() {
        List<String> messages = new ArrayList<>();
        for (int disabled = 0; disabled < 2; disabled++) {
            Dispatcher dispatcher = Dispatcher.create(Samples.settings(0, 2, true), 1);
            dispatcher.handle(
                    1,
                    List.of(
                            Samples.endpoints(4),
                            new EndpointAdminChange("w" + disabled, true, 1),
                            Samples.probeAnswer("w2", 9, 0),
                            Samples.probeAnswer("w" + (1 - disabled), 0, 9),
                            Samples.probeAnswer("w3", 0, 9),
                            Samples.arrival("a", "read", "red")));
            messages.add(
                    Samples.actionsOfType(SendToPeer.class, dispatcher.handle(SECOND / 10, List.of(new Timer("beat"))))
                            .stream()
                            .map(SendToPeer::data)
                            .filter(LoadGossipMessage::isLoadGossip)
                            .map(Arrays::toString)
                            .toList()
                            .toString());
        }
        assertEquals(messages.get(0), messages.get(1));
        char idHash = LoadGossipMessage.idHash("w2");
        assertTrue(
                messages.get(0).contains(", " + (byte) (idHash >> 8) + ", " + (byte) idHash + ", 1]"),
                messages.toString());
    }

    @Test
    void aDisabledEndpointReceivesNoRequestAndNoProbe() {
        Dispatcher dispatcher = Dispatcher.create(Samples.settings(0, 1, true), 1);
        dispatcher.handle(1, List.of(Samples.endpoints(2), new EndpointAdminChange("w0", true, 1)));
        for (int i = 0; i < 40; i++) {
            List<Action> actions = dispatcher.handle(
                    1 + i * SECOND / 10,
                    List.of(
                            new Timer("beat"),
                            Samples.probeAnswer("w1", 4, 0),
                            Samples.arrival("j" + i, "read", "red")));
            assertTrue(
                    actions.stream()
                            .noneMatch(a -> a instanceof Dispatch d
                                            && d.endpointId().equals("w0")
                                    || a instanceof Probe p && p.endpoint().equals("w0")),
                    actions.toString());
            Samples.actionsOfType(Dispatch.class, actions)
                    .forEach(d -> dispatcher.handle(1, List.of(Samples.outcome(d, 0, AttemptResult.SERVED))));
        }
        assertEquals(new EndpointCounts(2, 1), dispatcher.endpointCounts());
    }
}
