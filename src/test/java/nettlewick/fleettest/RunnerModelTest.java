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

class RunnerModelTest {
    private static final EndpointModel.Config KIND = Scenario.parse(
                    "x.conf", ScenarioTest.text("").replace("seed 5", "slots 2\nqueue 3\ncold 1s\nfall 200ms"))
            .world()
            .runner();

    private static EndpointModel runner(double bornAt) {
        return new EndpointModel("s0", "a", 1, KIND, bornAt);
    }

    /** Nothing that was taken is lost, and no more runs than there are slots, whatever comes and goes. */
    @Test
    void jobsAreConserved() {
        SplittableRandom random = new SplittableRandom(4);
        EndpointModel r = runner(Double.NEGATIVE_INFINITY);
        List<String> inHand = new ArrayList<>();
        int begunOf = 0;
        int takenOf = 0;
        for (int i = 0; i < 5000; i++) {
            List<EndpointModel.StartedRequest> begun = new ArrayList<>();
            if (random.nextInt(3) > 0) {
                EndpointModel.Admission how = r.offer("j" + i, 10, i, begun);
                assertEquals(inHand.size() >= 5, how == EndpointModel.Admission.FULL);
                if (how != EndpointModel.Admission.FULL) {
                    inHand.add("j" + i);
                    takenOf++;
                }
            } else if (!inHand.isEmpty()) {
                r.finish(inHand.remove(random.nextInt(inHand.size())), i, begun);
            }
            begunOf += begun.size();
            assertEquals(Math.min(2, inHand.size()), r.runningCount());
            assertEquals(inHand.size(), r.runningCount() + r.queuedCount());
            assertTrue(begunOf <= takenOf);
        }
    }

    @Test
    void aColdRunnerThatIsPushedFallsAndAWarmOneDoesNot() {
        EndpointModel cold = runner(0);
        EndpointModel warm = runner(-2000);
        for (int i = 0; i < 20; i++) {
            cold.offer("j" + i, 100, 10 + i, new ArrayList<>());
            warm.offer("j" + i, 100, 10 + i, new ArrayList<>());
        }
        assertTrue(cold.isOverloaded());
        assertFalse(warm.isOverloaded());
        EndpointModel spared = runner(0);
        for (int i = 0; i < 20; i++) {
            spared.offer("j" + i, 20, 100 * i, new ArrayList<>());
        }
        assertFalse(spared.isOverloaded(), "a fifth of its capacity");
    }

    /** The same play twice is the same; and the better a choice knows, the evener its load. */
    @Test
    void baselinesDifferInTheChoiceAlone() {
        Scenario s = Scenario.parse("x.conf", """
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
        Map<String, Double> random = Baselines.play(s, Baselines.Choice.RANDOM);
        Map<String, Double> two = Baselines.play(s, Baselines.Choice.TWO);
        Map<String, Double> best = Baselines.play(s, Baselines.Choice.BEST);
        assertEquals(random, Baselines.play(s, Baselines.Choice.RANDOM));
        assertTrue(best.get("load_cv") < 0.6 * random.get("load_cv"), best + " " + random);
        assertTrue(two.get("sent_to_full") < random.get("sent_to_full"), two + " " + random);
        assertEquals(0, best.get("sent_to_full"));
    }
}
