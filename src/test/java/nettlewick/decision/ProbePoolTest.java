package nettlewick.decision;

import static nettlewick.decision.Samples.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import nettlewick.decision.Action.Probe;
import org.junit.jupiter.api.Test;

/** Selection of the probed endpoints and the rate of probes. */
class ProbePoolTest {
    private final SchedulerContext context = SchedulerContext.create(Samples.settings(0, 1, true), 1);
    private final EndpointPools pools = new EndpointPools(1);
    private final ProbePool probePool = new ProbePool(context, pools, new ServiceRates(), false);

    ProbePoolTest() {
        List<Endpoint> endpoints = IntStream.range(0, 6)
                .mapToObj(i -> {
                    Endpoint endpoint = new Endpoint("w" + i);
                    endpoint.update(Samples.entry("w" + i, EndpointState.READY, 0, "north", 0), 0, true);
                    return endpoint;
                })
                .toList();
        pools.rebuild(endpoints);
        probePool.reselect();
    }

    private int probe() {
        context.actions().begin();
        probePool.probeDue();
        return Samples.actionsOfType(Probe.class, context.actions().actions()).size();
    }

    @Test
    void twoProbesATickForSixEndpointsAndNoneWhileOneIsPending() {
        assertEquals(6, probePool.probed().size());
        assertEquals(2, probe());
        assertEquals(2, probe());
        assertEquals(2, probe());
        assertEquals(0, probe(), "all probes are pending");
    }

    @Test
    void staleReportsAreProbedAtOnceAndRecentOnesNot() {
        Endpoint endpoint = probePool.probed().get(0);
        EndpointLoad load = new EndpointLoad(1, Double.NaN, 0, Double.NaN, Double.NaN);
        endpoint.capacity().applyReport(load, 0, new EndpointKindStats(), new LargestRequest());
        context.clock().advanceTo(500 * MS);
        assertFalse(probePool.probeStale(List.of(endpoint)));
        context.clock().advanceTo(500 * MS + 1);
        assertTrue(probePool.probeStale(List.of(endpoint)));
        assertFalse(probePool.probeStale(List.of(endpoint)), "a probe is pending");
    }
}
