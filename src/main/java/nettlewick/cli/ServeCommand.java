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
    private String capture;

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
            TrafficListener listener = capture == null ? TrafficListener.NONE : captureWriter(clock);
            frontends.add(base -> new PlatformFrontend(base, listener));
            features.addFrontends(frontends);
            features.start(config, clock);
        } catch (JsonFields.InvalidFieldException e) {
            throw new UsageException(Main.USAGE_ERROR, e.getMessage());
        } catch (IOException e) {
            throw new UsageException(Main.FAILED, "cannot start: " + e.getMessage());
        }
        DispatcherServer server = new DispatcherServer(
                        config, clock, hotRestart(config, clock), frontends.toArray(Frontend.Factory[]::new))
                .withUsageRecorder(features.usageRecorder())
                .withRequestListener(features.requestListener())
                // No method reference: linking one would load the class where there are no operators.
                .withAdminServer((address, operations) -> new AdminFrontend(address, operations));
        // By itself the JVM would end on SIGTERM with code 143 at once; requests in flight are answered first.
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
            Runtime.getRuntime().halt(Main.FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    /** Hands over from and to other processes of the same dispatcher; null if that is not possible. */
    private static HotRestart hotRestart(PlatformConfig config, Clock clock) {
        try {
            return config.listen().port() == 0
                    ? null
                    : new HotRestart(
                            Path.of(System.getProperty("java.io.tmpdir")),
                            config.name() + "-" + config.listen().port(),
                            (long) clock.nowMillis());
        } catch (UncheckedIOException e) {
            LOG.warning("no-upgrade", "no upgrade beside a living process: " + e.getMessage());
            return null;
        }
    }

    /** Reads both files before either is applied: an invalid one leaves all in force as it is. */
    private static void reload(DispatcherServer server, OptionalFeatures features) {
        try {
            PlatformConfig config = PlatformConfig.reload(System.getenv());
            features.prepareReload().run();
            server.reload(config);
        } catch (RuntimeException e) {
            LOG.warning("old-configuration-stays", "the old configuration stays: " + e.getMessage());
        }
    }

    private TrafficListener captureWriter(Clock clock) {
        try {
            return new CaptureWriter(
                    Files.newOutputStream(Path.of(capture)), clock, captureMegabytes * BYTES_PER_MEGABYTE);
        } catch (IOException | IllegalArgumentException e) {
            throw new UsageException(Main.FAILED, "--capture " + capture + " cannot be written: " + e.getMessage());
        }
    }
}
