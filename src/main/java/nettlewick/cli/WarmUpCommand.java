package nettlewick.cli;

import com.beust.jcommander.Parameters;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettlewick.core.Clock;
import nettlewick.net.DispatcherServer;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.config.PlatformConfig;

/** Starts and stops a dispatcher, so that the build can record the loaded classes in a CDS archive. */
@Parameters(commandDescription = "Start on a free loopback port, warm up, and end")
final class WarmUpCommand implements Command {
    /** Nothing listens on port 1, so that the classes that retry the discovery watch are loaded as well. */
    private static final String CONFIG = """
            {"name":"warm","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
             "known":{"seq":1,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","class":"m",
               "health":"Ready","share":1,"born_ms":0}]},
             "settings":{"rank":0,"fleet_size":1,"zone":"a","models":["m"],
              "classes":[{"name":"c","repeat":"retryable","aim":1000000,"deadline":1000000000}],
              "ceilings":{"attempts_cap":2,"probes":true},
              "rules":{"cold":1,"cold_share":0.5,"overload_factor":3}}}""";

    private static final int TIMEOUT_SECONDS = 20;

    @Override
    public int run() {
        try {
            DispatcherServer server =
                    new DispatcherServer(PlatformConfig.parse(CONFIG, Map.of()), Clock.system(), PlatformFrontend::new);
            server.start().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            server.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return 0;
        } catch (Exception e) {
            throw new CommandException(Main.EXIT_FAILURE, "warm-up failed: " + e);
        }
    }
}
