package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Twelve dispatcher processes with faults between them: no invariant is violated, and figures stay within wide
 * limits.
 */
@Tag("fleet")
@Timeout(120)
class FleetFaultsProcessTest {
    @TempDir
    private Path dir;

    private Map<String, Double> runScenario(String linksBlock, String steps) throws Exception {
        Scenario scenario = Scenario.parse("test", """
                world {
                    seed 11
                    dispatchers 12
                    runners 7
                    runners 1 speed 0.5
                    zone a
                    zone b
                    slots 2
                    queue 4
                    cold 2s
                }
                load {
                    rate 40
                    length 8s
                    warm 3s
                    class step-view 50% 100ms 1s
                    class save-run 20% 150ms 1s
                    class mark-submit 30% 100ms 1s
                }
                """ + linksBlock + "steps {\n" + steps + "}\n");
        try (ScenarioRun run = new ScenarioRun(scenario, dir)) {
            run.startFleet(line -> {});
            Map<String, Double> figures = run.run(line -> {});
            Results.write(
                    dir.resolve("out"),
                    figures,
                    run.checker().violations(),
                    run.loadStats(),
                    run.latency(),
                    run.secondSummaries());
            assertEquals("", String.join("\n", run.checker().violations()));
            assertEquals(0, figures.get("crashed"));
            assertEquals(0, figures.get("too_long"));
            assertEquals(
                    figures.get("jobs"),
                    figures.get("in_time")
                            + figures.get("late")
                            + figures.get("unserved")
                            + figures.get("failed")
                            + figures.get("broken_off"),
                    figures::toString);
            assertEquals(figures.get("jobs"), Results.read(dir.resolve("out")).get("jobs"));
            return figures;
        }
    }

    private static void assertAtMost(Map<String, Double> figures, String name, double maxFraction) {
        assertTrue(figures.get(name) <= maxFraction * figures.get("jobs"), name + " of " + figures);
    }

    /** Counts late answers as well, because a slow machine answers late. */
    private static void assertServed(Map<String, Double> figures, double minFraction) {
        assertTrue(
                figures.get("in_time") + figures.get("late") >= minFraction * figures.get("jobs"), figures::toString);
    }

    @Test
    void lostDuplicatedDelayedAndMalformedDatagrams() throws Exception {
        Map<String, Double> figures = runScenario("""
                links {
                    loss 20%
                    duplicates 20%
                    delay 2ms
                    jitter 40ms
                }
                """, """
                at 2s garble dispatchers for 2s
                at 4s loss 50% for 3s
                """);
        assertAtMost(figures, "unserved", 0.05);
        assertAtMost(figures, "failed", 0);
    }

    @Test
    void partitionedZonesWithKilledAndPausedDispatchers() throws Exception {
        Map<String, Double> figures = runScenario("", """
                at 1s cut zone a from b for 4s
                at 2s pause n3 for 2s
                at 2s kill 25% of dispatchers
                at 4s start all in random order over 1s
                at 5s mute n5 to dispatchers for 2s
                """);
        assertServed(figures, 0.5);
    }

    @Test
    void changingAndFaultyEndpoints() throws Exception {
        Map<String, Double> figures = runScenario("", """
                at 1s lists apart 2s
                at 1s add 5 runners
                at 2s drain s1
                at 3s kill s2
                at 3s hang s3 for 2s
                at 4s start s2
                at 4s empty s0 for 1s
                at 5s slow zone b by 2 for 2s
                at 5s reset s4 for 500ms
                at 6s trickle s5 for 1s
                """);
        assertServed(figures, 0.5);
    }
}
