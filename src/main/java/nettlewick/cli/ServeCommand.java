package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import nettlewick.admin.AdminFrontend;
import nettlewick.core.Clock;
import nettlewick.log.ComponentLogger;
import nettlewick.net.DispatcherServer;
import nettlewick.net.client.Frontend;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.client.TrafficListener;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.format.JsonFields;
import nettlewick.net.lifecycle.HotRestart;
import nettlewick.pcap.CaptureWriter;

/** Runs one dispatcher until it receives SIGTERM. */
@Parameters(commandDescription = "Run one dispatcher, configured by $ROUTER_CONFIG")
final class ServeCommand implements Command {
    @Parameter(
            names = "--settings",
            description = "Settings file: further frontends, log, ledger, leases, tenant pools")
    private String settingsFile;

    @Parameter(names = "--capture", description = "File that the served traffic is written to, as pcap")
    private String captureFile;

    @Parameter(names = "--capture-mb", description = "Maximum size of that file in megabytes")
    private int captureMegabytes = 16;

    @Parameter(
            names = "--clock-ahead",
            hidden = true,
            description = "Milliseconds by which this process's clock is ahead, for fleet tests")
    private long clockAheadMillis;

    private static final ComponentLogger LOG = ComponentLogger.of("node");
    private static final long BYTES_PER_MEGABYTE = 1 << 20;
    private static final int START_TIMEOUT_SECONDS = 20;

    @Override
    public int run() {
        OptionalFeatures features =
                settingsFile == null ? OptionalFeatures.NONE : new SettingsFileFeatures(settingsFile);
        PlatformConfig config;
        List<Frontend.Factory> frontends = new ArrayList<>();
        Clock clock = Clock.system(clockAheadMillis);
        try {
            config = PlatformConfig.load(System.getenv());
            TrafficListener listener = captureFile == null ? TrafficListener.NONE : openCapture(clock);
            frontends.add(base -> new PlatformFrontend(base, listener));
            features.addFrontends(frontends);
            features.start(config, clock);
        } catch (JsonFields.InvalidFieldException e) {
            throw new CommandException(Main.EXIT_USAGE_ERROR, e.getMessage());
        } catch (IOException e) {
            throw new CommandException(Main.EXIT_FAILURE, "cannot start: " + e.getMessage());
        }
        DispatcherServer server = new DispatcherServer(
                        config, clock, hotRestart(config, clock), frontends.toArray(Frontend.Factory[]::new))
                .withUsageRecorder(features.usageRecorder())
                .withRequestListener(features.requestListener())
                // A lambda, because linking a method reference would load the class even without an admin address.
                .withAdminServer((address, operations) -> new AdminFrontend(address, operations));
        // By default the JVM exits at once on SIGTERM, with code 143; this hook first answers the requests in flight.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            server.shutDown();
                            features.close();
                            Runtime.getRuntime().halt(0);
                        },
                        "shutdown"));
        ReloadSignal.onSignal(() -> reload(server, features));
        try {
            server.start().toCompletionStage().toCompletableFuture().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("nettlewick: cannot listen: " + e.getMessage());
            Runtime.getRuntime().halt(Main.EXIT_FAILURE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    /** Creates the hot restart between processes of this dispatcher; null if it is not available. */
    private static HotRestart hotRestart(PlatformConfig config, Clock clock) {
        try {
            return config.listen().port() == 0
                    ? null
                    : new HotRestart(
                            Path.of(System.getProperty("java.io.tmpdir")),
                            config.name() + "-" + config.listen().port(),
                            (long) clock.nowMillis());
        } catch (UncheckedIOException e) {
            LOG.warning("no-upgrade", "hot restart is not available: " + e.getMessage());
            return null;
        }
    }

    /** Reads both files before applying either, so that an invalid file changes nothing. */
    private static void reload(DispatcherServer server, OptionalFeatures features) {
        try {
            PlatformConfig config = PlatformConfig.reload(System.getenv());
            features.prepareReload().run();
            server.reload(config);
        } catch (RuntimeException e) {
            LOG.warning(
                    "old-configuration-stays",
                    "reload failed; the current configuration stays in force: " + e.getMessage());
        }
    }

    private TrafficListener openCapture(Clock clock) {
        try {
            return new CaptureWriter(
                    Files.newOutputStream(Path.of(captureFile)), clock, captureMegabytes * BYTES_PER_MEGABYTE);
        } catch (IOException | IllegalArgumentException e) {
            throw new CommandException(
                    Main.EXIT_FAILURE, "--capture: cannot write " + captureFile + ": " + e.getMessage());
        }
    }
}
