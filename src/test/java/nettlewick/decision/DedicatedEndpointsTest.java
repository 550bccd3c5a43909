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

/** Selection of endpoints for tenants with dedicated endpoints, through each step of reassigning endpoints. */
class DedicatedEndpointsTest {
    private static final int ENDPOINTS = 8;
    private static final Set<String> DEDICATED = Set.of("w1", "w2");
    private final RequestScheduler scheduler = new RequestScheduler(Samples.settings(0, 3, true), 11);
    private long now = 1;
    private int requests;

    DedicatedEndpointsTest() {
        handle(Samples.endpoints(ENDPOINTS));
    }

    private List<Action> handle(Event... events) {
        now++;
        return scheduler.handle(now, List.of(events));
    }

    private void assign(boolean exclusive, boolean confined, String... endpoints) {
        handle(new PoolsAssigned(List.of(new PoolAssignment("red", Set.of(endpoints), exclusive, confined))));
    }

    /** Returns the endpoints that {@code count} requests of a tenant are sent to while all report free capacity. */
    private Set<String> usedEndpoints(String tenant, String requestClass, int count) {
        Set<String> used = new HashSet<>();
        for (int i = 0; i < count; i++) {
            for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
                handle(Samples.probeAnswer("w" + endpoint, 3, 0));
            }
            String key = requestClass.equals("read") ? null : "k" + i;
            Arrival arrival =
                    new Arrival("j" + requests++, requestClass, tenant, 5 * Samples.SECOND, 1, 0, 0, key, false);
            Samples.actionsOfType(Dispatch.class, handle(arrival)).forEach(d -> {
                used.add(d.endpointId());
                handle(Samples.outcome(d, 0, AttemptResult.SERVED));
            });
        }
        return used;
    }

    @Test
    void aConfinedTenantUsesItsEndpointsAndOthersDoNot() {
        assign(true, true, "w1", "w2");
        assertTrue(DEDICATED.containsAll(usedEndpoints("red", "keyed", 40)));
        assertTrue(DEDICATED.containsAll(usedEndpoints("red", "read", 20)));
        assertEquals(
                Set.of("w0", "w4", "w6"),
                usedEndpoints("blue", "keyed", 60),
                "the remaining endpoints of the own zone");
        assertTrue(usedEndpoints("blue", "read", 20).stream().noneMatch(DEDICATED::contains));
    }

    /** Guards against queueing at a tenant's full dedicated endpoints because other endpoints have free capacity. */
    @Test
    void aConfinedTenantIsRejectedAtOnceWhereItsEndpointsAreFull() {
        assign(true, true, "w1", "w2");
        for (int i = 0; i < 30; i++) {
            for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
                handle(Samples.probeAnswer(
                        "w" + endpoint,
                        DEDICATED.contains("w" + endpoint) ? 0 : 3,
                        DEDICATED.contains("w" + endpoint) ? 1 : 0));
            }
            List<Action> red = handle(new Arrival("r" + i, "read", "red", 5 * Samples.SECOND, 1, 0, 0, null, false));
            assertEquals(List.of(), Samples.actionsOfType(Dispatch.class, red), "request " + i);
            assertTrue(Samples.actionsOfType(Reject.class, red).get(0).retryAfterNanos() > 0, "Retry-After is set");
            List<Dispatch> blue = Samples.actionsOfType(
                    Dispatch.class,
                    handle(new Arrival("b" + i, "read", "blue", 5 * Samples.SECOND, 1, 0, 0, null, false)));
            assertEquals(1, blue.size(), "request " + i);
            handle(Samples.outcome(blue.get(0), 0, AttemptResult.SERVED));
        }
    }

    @Test
    void exclusiveEndpointsAreAvoidedByOthersWhileTheTenantIsNotYetConfined() {
        assign(true, false, "w1", "w2");
        assertEquals(Set.of("w0", "w2", "w4", "w6"), usedEndpoints("red", "keyed", 60));
        assertTrue(usedEndpoints("blue", "keyed", 60).stream().noneMatch(DEDICATED::contains));
        handle(new PoolsAssigned(List.of()));
        assertTrue(usedEndpoints("blue", "keyed", 60).contains("w2"));
    }

    @Test
    void sharedDedicatedEndpointsAlsoServeOtherTenants() {
        assign(false, true, "w1", "w2");
        assertTrue(DEDICATED.containsAll(usedEndpoints("red", "keyed", 40)));
        assertTrue(usedEndpoints("blue", "keyed", 60).contains("w2"));
    }

    @Test
    void aTenantWithoutReadyDedicatedEndpointsUsesTheSharedPool() {
        assign(true, true, "w1", "w2");
        handle(new EndpointList(
                false,
                List.of(
                        Samples.entry("w1", EndpointState.GONE, 0, "south", 0),
                        Samples.entry("w2", EndpointState.DRAINING, 0, "north", 1))));
        Set<String> used = usedEndpoints("red", "keyed", 60);
        assertEquals(Set.of("w0", "w4", "w6"), used);
    }

    /**
     * Guards against running a keyed request twice: it may have run in one zone, and a reassignment of its tenant then
     * has it retried in another.
     */
    @Test
    void aKeyedRequestIsNotRetriedOutsideItsDedupScopeAfterAMove() {
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            handle(Samples.probeAnswer("w" + endpoint, endpoint == 0 ? 3 : 0, 0));
        }
        Dispatch first = Samples.actionsOfType(
                        Dispatch.class,
                        handle(new Arrival("k", "keyed", "red", 5 * Samples.SECOND, 1, 0, 0, null, false)))
                .get(0);
        assertEquals("w0", first.endpointId(), "the endpoint in the north with free capacity");
        assign(true, true, "w1", "w3");
        List<Action> actions = handle(Samples.outcome(first, 0, AttemptResult.BROKEN));
        assertEquals(List.of(), Samples.actionsOfType(Dispatch.class, actions));
        assertEquals(1, Samples.actionsOfType(Fail.class, actions).size());
        assign(true, true, "w1", "w2");
        handle(Samples.probeAnswer("w1", 3, 0), Samples.probeAnswer("w2", 3, 0));
        Dispatch second = Samples.actionsOfType(
                        Dispatch.class,
                        handle(new Arrival("k2", "keyed", "red", 5 * Samples.SECOND, 1, 0, 0, null, false)))
                .get(0);
        String firstEndpoint = second.endpointId();
        List<Dispatch> retries =
                Samples.actionsOfType(Dispatch.class, handle(Samples.outcome(second, 0, AttemptResult.BROKEN)));
        assertTrue(retries.stream().noneMatch(d -> d.endpointId().equals(firstEndpoint.equals("w1") ? "w2" : "w1")));
    }
}
