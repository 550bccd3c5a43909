package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.PeerMessageReceived;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.LoadReporting;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Rules;
import nettlewick.decision.SchedulerSettings.Scope;
import nettlewick.decision.SchedulerSettings.Tenant;
import org.junit.jupiter.api.Test;

/** The example in the README: it runs, and the README holds the same text. */
class ExampleTest {
    @Test
    void exampleMakesTheExpectedDecisions() {
        // example begins
        long second = 1_000_000_000L;
        SchedulerSettings settings = new SchedulerSettings(
                0,
                2,
                "north",
                List.of(new RequestClass(
                        "render", Idempotency.IDEMPOTENT, Scope.ALL, 0, second / 5, 2, 5 * second, 1, 0, false, -1, 0)),
                List.of(new Tenant("acme", 1.0, 50)),
                List.of("std"),
                false,
                false,
                LoadReporting.ON_PROBE,
                0,
                new Limits(3, true, true, true, true, true, 2 * second),
                new Rules(second / 100, 10 * second, 8 * second, 0.3, second / 4, 3 * second, 3));
        Dispatcher dispatcher = Dispatcher.create(settings, 42);

        long now = 1;
        dispatcher.handle(
                now,
                List.of(new EndpointList(
                        true,
                        List.of(
                                new EndpointEntry("10.0.0.1:9000", EndpointState.READY, 0, 0, "std", "north", 1),
                                new EndpointEntry("10.0.0.2:9000", EndpointState.READY, 0, 0, "std", "north", 1)))));
        dispatcher.handle(
                now,
                List.of(new ProbeAnswer(
                        "10.0.0.2:9000",
                        AttemptResult.SERVED,
                        300_000,
                        new EndpointLoad(3, Double.NaN, 0, Double.NaN, Double.NaN))));

        List<Action> actions = dispatcher.handle(
                now + 1, List.of(new Arrival("job-1", "render", "acme", 5 * second, 1, 0, second / 10, null, false)));
        Dispatch sent = (Dispatch) actions.get(0);
        System.out.println("job-1 goes to " + sent.endpointId());

        actions = dispatcher.handle(
                now + second / 10,
                List.of(
                        new Outcome("job-1", 0, sent.endpointId(), AttemptResult.OVERLOADED, 400_000, false, null),
                        new Timer("beat"),
                        new PeerMessageReceived(1, new byte[] {1, 2, 3})));
        actions.forEach(System.out::println);
        // example ends
        assertEquals("10.0.0.2:9000", sent.endpointId());
        assertTrue(actions.contains(new Dispatch("job-1", "10.0.0.1:9000", 0)), actions.toString());
    }

    @Test
    void readmeShowsThisExample() throws IOException {
        String source = Files.readString(Path.of("src/test/java/nettlewick/decision/ExampleTest.java"));
        String body =
                source.substring(source.indexOf("// example begins\n") + 18, source.indexOf("        // example ends"));
        assertTrue(Files.readString(Path.of("README.md"))
                .contains(body.replace("\n        ", "\n").strip()));
    }
}
