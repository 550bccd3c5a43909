package nettlewick.sse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.settings.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An endpoint that reports progress faster than it is of use to anybody. */
@Timeout(60)
class ProgressBacklogTest {
    private static final int LINES = 5_000;

    /** Guards against work for each line that delays the result behind them past the request's deadline. */
    @Test
    void linesThatAreReadTogetherBecomeFewEventsAndTheNewestIsAmongThem() throws Exception {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < LINES; i++) {
            lines.append("{\"state\":\"running\",\"share\":")
                    .append((double) i / LINES)
                    .append("}\n");
        }
        lines.append("{\"state\":\"done\",\"result\":\"r\"}\n");
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform()) {
            platform.addEndpoint("s-1");
            platform.requestOverride = request -> request.response().end(lines.toString());
            EventStreamConfig config = EventStreamConfig.of(Settings.parse("test", "edge {\nlisten 127.0.0.1:0\n}")
                    .block("edge")
                    .get());
            int port = platform.start(environment -> new EventStreamFrontend(environment, config))
                    .ports()
                    .get(1);
            EventStreamClient stream = new EventStreamClient(platform.vertx, port, "s", "step-view");
            stream.post(EventStreamClient.newHttpClient(platform.vertx)).ended.get(20, TimeUnit.SECONDS);
            List<String> data = stream.events.stream()
                    .map(EventStreamClient.ReceivedEvent::data)
                    .toList();
            assertEquals("{\"result\":\"r\"}", data.get(data.size() - 1));
            assertEquals("{\"share\":" + (double) (LINES - 1) / LINES + "}", data.get(data.size() - 2));
            assertEquals("{\"share\":0.0}", data.get(0));
            assertTrue(data.size() <= LINES / 10, data.size() + " events");
        }
    }
}
