package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettlewick.stubs.EndpointModel;
import org.junit.jupiter.api.Test;

class EndpointModelTest {
    private static final EndpointModel.Config KIND = Scenario.parse(
                    "x.conf", ScenarioTest.scenarioText("").replace("seed 5", "slots 2\nqueue 3\ncold 1s\nfall 200ms"))
            .fleet()
            .endpoint();

    private static EndpointModel endpoint(double bornAt) {
        return new EndpointModel("s0", "a", 1, KIND, bornAt);
    }

    /** No accepted request is lost, and at most as many run as there are slots. */
    @Test
    void requestsAreConserved() {
        SplittableRandom random = new SplittableRandom(4);
        EndpointModel endpoint = endpoint(Double.NEGATIVE_INFINITY);
        List<String> accepted = new ArrayList<>();
        int startedCount = 0;
        int acceptedCount = 0;
        for (int i = 0; i < 5000; i++) {
            List<EndpointModel.StartedRequest> started = new ArrayList<>();
            if (random.nextInt(3) > 0) {
                EndpointModel.Admission admission = endpoint.offer("j" + i, 10, i, started);
                assertEquals(accepted.size() >= 5, admission == EndpointModel.Admission.FULL);
                if (admission != EndpointModel.Admission.FULL) {
                    accepted.add("j" + i);
                    acceptedCount++;
                }
            } else if (!accepted.isEmpty()) {
                endpoint.finish(accepted.remove(random.nextInt(accepted.size())), i, started);
            }
            startedCount += started.size();
            assertEquals(Math.min(2, accepted.size()), endpoint.runningCount());
            assertEquals(accepted.size(), endpoint.runningCount() + endpoint.queuedCount());
            assertTrue(startedCount <= acceptedCount);
        }
    }

    @Test
    void anOverloadedEndpointCollapsesDuringSlowStartOnly() {
        EndpointModel starting = endpoint(0);
        EndpointModel warmedUp = endpoint(-2000);
        for (int i = 0; i < 20; i++) {
            starting.offer("j" + i, 100, 10 + i, new ArrayList<>());
            warmedUp.offer("j" + i, 100, 10 + i, new ArrayList<>());
        }
        assertTrue(starting.isOverloaded());
        assertFalse(warmedUp.isOverloaded());
        EndpointModel lightlyLoaded = endpoint(0);
        for (int i = 0; i < 20; i++) {
            lightlyLoaded.offer("j" + i, 20, 100 * i, new ArrayList<>());
        }
        assertFalse(lightlyLoaded.isOverloaded(), "load of a fifth of its capacity");
    }

    /** Baselines are deterministic, and a policy with better information balances the load better. */
    @Test
    void baselinesDifferOnlyInTheSelectionPolicy() {
        Scenario scenario = Scenario.parse("x.conf", """
                world {
                    dispatchers 30
                    runners 20
                    queue 4
                }
                load {
                    rate 130
                    length 30s
                    class step-view 100% 400ms 1s
                }
                """);
        Map<String, Double> random = Baselines.play(scenario, Baselines.Policy.RANDOM);
        Map<String, Double> two = Baselines.play(scenario, Baselines.Policy.TWO);
        Map<String, Double> best = Baselines.play(scenario, Baselines.Policy.BEST);
        assertEquals(random, Baselines.play(scenario, Baselines.Policy.RANDOM));
        assertTrue(best.get("load_cv") < 0.6 * random.get("load_cv"), best + " " + random);
        assertTrue(two.get("sent_to_full") < random.get("sent_to_full"), two + " " + random);
        assertEquals(0, best.get("sent_to_full"));
    }
}
