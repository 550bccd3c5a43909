package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.ExecutionException;
import nettlewick.core.Clock;
import nettlewick.net.Config;
import nettlewick.net.Fields;
import nettlewick.net.Front;
import nettlewick.net.Node;
import nettlewick.sse.EdgeConfig;
import nettlewick.sse.EdgeFront;

@Parameters(commandNames = "serve", commandDescription = "Run one real dispatcher, as $ROUTER_CONFIG tells")
final class Serve implements Command {
    @Parameter(names = "--edge", description = "File that says where the server-sent events front listens")
    private String edge;

    private static final int START_SECONDS = 20;

    @Override
    public int run() {
        Log.install();
        Config config;
        Front.Maker[] more = {};
        try {
            config = Config.load(System.getenv());
            if (edge != null) {
                EdgeConfig streams = EdgeConfig.load(edge);
                more = new Front.Maker[] {base -> new EdgeFront(base, streams)};
            }
        } catch (Fields.Bad e) {
            throw new Misuse(Main.MISUSED, e.getMessage());
        }
        Node node = new Node(config, Clock.system(), more);
        // Danger: by itself the JVM ends on SIGTERM with code 143; what was taken is answered first, then 0.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            node.shutDown();
            Runtime.getRuntime().halt(0);
        }, "shutdown"));
        try {
            node.start().toCompletionStage().toCompletableFuture().get(START_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("nettlewick: cannot listen: " + e.getMessage());
            Runtime.getRuntime().halt(Main.FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
