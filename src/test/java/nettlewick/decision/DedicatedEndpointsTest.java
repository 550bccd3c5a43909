package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.PoolsAssigned;
import org.junit.jupiter.api.Test;

/** Tenants with dedicated endpoints: which requests go where, through each step of a move. */
class DedicatedEndpointsTest {
    private static final int ENDPOINTS = 8;
    private static final Set<String> DEDICATED = Set.of("w1", "w2");
    private final RequestScheduler scheduler = new RequestScheduler(Samples.settings(0, 3, true), 11);
    private long now = 1;
    private int requests;

    DedicatedEndpointsTest() {
        at(Samples.endpoints(ENDPOINTS));
    }

    private List<Action> at(Event... events) {
        now++;
        return scheduler.handle(now, List.of(events));
    }

    private void assign(boolean shut, boolean confined, String... endpoints) {
        at(new PoolsAssigned(List.of(new PoolAssignment("red", Set.of(endpoints), shut, confined))));
    }

    /** The endpoints that {@code count} requests of a tenant go to, all having just reported room. */
    private Set<String> used(String tenant, String requestClass, int count) {
        Set<String> used = new HashSet<>();
        for (int i = 0; i < count; i++) {
            for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
                at(Samples.probeAnswer("w" + endpoint, 3, 0));
            }
            String key = requestClass.equals("read") ? null : "k" + i;
            Arrival a = new Arrival("j" + requests++, requestClass, tenant, 5 * Samples.SECOND, 1, 0, 0, key, false);
            Samples.actionsOfType(Dispatch.class, at(a)).forEach(d -> {
                used.add(d.endpointId());
                at(Samples.outcome(d, 0, AttemptResult.SERVED));
            });
        }
        return used;
    }

    @Test
    void aConfinedTenantUsesItsEndpointsAndOthersDoNot() {
        assign(true, true, "w1", "w2");
        assertTrue(DEDICATED.containsAll(used("red", "keyed", 40)));
        assertTrue(DEDICATED.containsAll(used("red", "read", 20)));
        assertEquals(Set.of("w0", "w4", "w6"), used("blue", "keyed", 60), "the rest of the own zone");
        assertTrue(used("blue", "read", 20).stream().noneMatch(DEDICATED::contains));
    }

    /** Guards against a flood that queues at full endpoints since those of others have room. */
    @Test
    void aConfinedTenantIsRejectedAtOnceWhereItsEndpointsAreFull() {
        assign(true, true, "w1", "w2");
        for (int i = 0; i < 30; i++) {
            for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
                at(Samples.probeAnswer(
                        "w" + endpoint,
                        DEDICATED.contains("w" + endpoint) ? 0 : 3,
                        DEDICATED.contains("w" + endpoint) ? 1 : 0));
            }
            List<Action> red = at(new Arrival("r" + i, "read", "red", 5 * Samples.SECOND, 1, 0, 0, null, false));
            assertEquals(List.of(), Samples.actionsOfType(Dispatch.class, red), "request " + i);
            assertTrue(Samples.actionsOfType(Reject.class, red).get(0).retryAfterNanos() > 0, "when to come back");
            List<Dispatch> blue = Samples.actionsOfType(
                    Dispatch.class, at(new Arrival("b" + i, "read", "blue", 5 * Samples.SECOND, 1, 0, 0, null, false)));
            assertEquals(1, blue.size(), "request " + i);
            at(Samples.outcome(blue.get(0), 0, AttemptResult.SERVED));
        }
    }

    @Test
    void exclusiveEndpointsAreAvoidedByOthersWhileTheTenantIsNotYetConfined() {
        assign(true, false, "w1", "w2");
        assertEquals(Set.of("w0", "w2", "w4", "w6"), used("red", "keyed", 60));
        assertTrue(used("blue", "keyed", 60).stream().noneMatch(DEDICATED::contains));
        at(new PoolsAssigned(List.of()));
        assertTrue(used("blue", "keyed", 60).contains("w2"));
    }

    @Test
    void sharedDedicatedEndpointsAlsoServeOtherTenants() {
        assign(false, true, "w1", "w2");
        assertTrue(DEDICATED.containsAll(used("red", "keyed", 40)));
        assertTrue(used("blue", "keyed", 60).contains("w2"));
    }

    @Test
    void aTenantWithoutReadyDedicatedEndpointsUsesTheCommonPool() {
        assign(true, true, "w1", "w2");
        at(new EndpointList(
                false,
                List.of(
                        Samples.entry("w1", EndpointState.GONE, 0, "south", 0),
                        Samples.entry("w2", EndpointState.DRAINING, 0, "north", 1))));
        Set<String> used = used("red", "keyed", 60);
        assertEquals(Set.of("w0", "w4", "w6"), used);
    }

    /** Guards against a keyed request that may have run in one zone and runs again in another after a move. */
    @Test
    void aKeyedRequestIsNotRetriedOutsideItsDedupScopeAfterAMove() {
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            at(Samples.probeAnswer("w" + endpoint, endpoint == 0 ? 3 : 0, 0));
        }
        Dispatch first = Samples.actionsOfType(
                        Dispatch.class, at(new Arrival("k", "keyed", "red", 5 * Samples.SECOND, 1, 0, 0, null, false)))
                .get(0);
        assertEquals("w0", first.endpointId(), "of the north");
        assign(true, true, "w1", "w3");
        List<Action> then = at(Samples.outcome(first, 0, AttemptResult.BROKEN));
        assertEquals(List.of(), Samples.actionsOfType(Dispatch.class, then));
        assertEquals(1, Samples.actionsOfType(Fail.class, then).size());
        assign(true, true, "w1", "w2");
        at(Samples.probeAnswer("w1", 3, 0), Samples.probeAnswer("w2", 3, 0));
        Dispatch second = Samples.actionsOfType(
                        Dispatch.class, at(new Arrival("k2", "keyed", "red", 5 * Samples.SECOND, 1, 0, 0, null, false)))
                .get(0);
        String there = second.endpointId();
        List<Dispatch> again =
                Samples.actionsOfType(Dispatch.class, at(Samples.outcome(second, 0, AttemptResult.BROKEN)));
        assertTrue(again.stream().noneMatch(d -> d.endpointId().equals(there.equals("w1") ? "w2" : "w1")));
    }
}
