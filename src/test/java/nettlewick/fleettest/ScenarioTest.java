package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.settings.InvalidSettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioTest {
    static String scenarioText(String steps) {
        return """
                world {
                    seed 5
                    dispatchers 6
                    runners 3
                    runners 2 speed 0.5
                    zone a
                    zone b
                }
                load {
                    rate 40
                    length 8s
                    class step-view 70% 40ms 400ms
                    class mark-submit 30% 40ms 400ms
                }
                steps {
                """ + steps + "\n}\n";
    }

    @Test
    void stepsAreParsedAndSortedByTime() {
        Scenario scenario = Scenario.parse("x.conf", scenarioText("""
                at 10s start all in random order over 3s
                at 5s cut zone a from b for 6s
                at 8s kill 70% of dispatchers
                at 9s pause n3 for 4s
                at 1s slow s4 by 2.5 for 500ms
                at 2s add 20 runners
                at 3s loss 20% for 1s
                at 4s lists apart 5s
                """));
        assertEquals(
                List.of("slow", "add", "loss", "lists", "cut", "kill", "pause", "start"),
                scenario.steps().stream().map(Scenario.Step::verb).toList());
        assertEquals(
                new Scenario.Step(1000, "slow", new ScenarioTarget("s4", 1), null, 2.5, 500),
                scenario.steps().get(0));
        assertEquals(
                new Scenario.Step(
                        5000, "cut", new ScenarioTarget("a", 1), new ScenarioTarget("b", 1), Double.NaN, 6000),
                scenario.steps().get(4));
        assertEquals(
                new ScenarioTarget("dispatchers", 0.7), scenario.steps().get(5).target());
        assertEquals(3000, scenario.steps().get(7).value());
        assertEquals(5, scenario.fleet().endpoints());
        assertEquals(0.5, scenario.fleet().speed(4));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "at 1s pause s2 for 1s | dispatchers: only they are processes",
                "at 1s kill n6 | one of the 6 dispatchers",
                "at 1s cut zone c from b for 1s | one of the 6 dispatchers",
                "at 1s kill 700% of dispatchers | written as",
                "at soon kill n1 | written as",
                "at 1s expolde n1 | written as",
                "af 1s kill n1 | the nearest is at"
            })
    void anInvalidStepIsReportedInOneLineWithItsLocation(String step, String expectedMessage) {
        InvalidSettingsException exception =
                assertThrows(InvalidSettingsException.class, () -> Scenario.parse("x.conf", scenarioText(step)));
        assertTrue(exception.getMessage().startsWith("x.conf:16"), exception.getMessage());
        assertTrue(exception.getMessage().contains(expectedMessage), exception.getMessage());
        assertEquals(1, exception.getMessage().lines().count());
    }

    @Test
    void relayFaultsRequireRelayedConnections() {
        InvalidSettingsException exception = assertThrows(
                InvalidSettingsException.class,
                () -> Scenario.parse("x.conf", scenarioText("at 1s reset s1 for 1s") + "links {\n tcp direct\n}\n"));
        assertTrue(exception.getMessage().contains("tcp direct"), exception.getMessage());
    }

    /** A burst must add requests instead of only shifting their arrival times. */
    @Test
    void rateStepsScaleTheNumberOfRequests() {
        Scenario scenario = Scenario.parse("x.conf", scenarioText("at 4s rate by 3 for 2s"));
        List<RequestTrace.PlannedRequest> trace = RequestTrace.draw(scenario);
        assertEquals(trace, RequestTrace.draw(scenario));
        long burst = trace.stream().filter(a -> a.at() >= 4000 && a.at() < 6000).count();
        assertTrue(Math.abs(burst - 240) < 60, burst + " of 240");
        assertTrue(Math.abs(trace.size() - burst - 240) < 60, trace.size() - burst + " of 240");
    }
}
