package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;

/** Endpoint pools by kind and by tenant. */
class EndpointPoolsTest {
    private static Endpoint endpoint(String id, int kind) {
        Endpoint endpoint = new Endpoint(id);
        endpoint.update(Samples.entry(id, EndpointState.READY, 0, "north", 0), kind, true);
        return endpoint;
    }

    @Test
    void endpointsAreGroupedByKindAndExclusiveOnesLeaveTheSharedPools() {
        EndpointPools pools = new EndpointPools(2);
        List<Endpoint> all = List.of(endpoint("w0", 0), endpoint("w1", 1), endpoint("w2", 1));
        pools.rebuild(all);
        assertEquals(all, pools.ready());
        assertEquals(all.subList(1, 3), pools.ofKind(1).ready());
        pools.assign(List.of(new PoolAssignment("red", Set.of("w1"), true, true)));
        pools.rebuild(all);
        assertEquals(List.of(all.get(2)), pools.ofKind(1).ready());
        ScheduledRequest red = Samples.request("read", Idempotency.IDEMPOTENT, Scope.ALL);
        assertTrue(pools.isConfined(red));
        assertEquals(List.of(all.get(1)), pools.candidates(red).ready());
        pools.assign(List.of());
        pools.rebuild(all);
        assertFalse(pools.isConfined(red));
        assertEquals(all, pools.candidates(red).ready());
    }
}
