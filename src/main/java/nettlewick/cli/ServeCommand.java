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
import nettlewick.core.Clock;
import nettlewick.log.ComponentLogger;
import nettlewick.net.DispatcherServer;
import nettlewick.net.Frontend;
import nettlewick.net.HotRestart;
import nettlewick.net.JsonFields;
import nettlewick.net.PlatformConfig;
import nettlewick.net.PlatformFrontend;
import nettlewick.net.TrafficListener;
import nettlewick.pcap.CaptureWriter;

@Parameters(commandNames = "serve", commandDescription = "Run one real dispatcher, as $ROUTER_CONFIG tells")
final class ServeCommand implements Command {
    @Parameter(names = "--settings", description = "File with settings of our own: further fronts, logs, ledger")
    private String settingsFile;

    @Parameter(names = "--capture", description = "File that the traffic served is written to, as pcap")
    private String capture;

    @Parameter(names = "--capture-mb", description = "Most megabytes of that file")
    private int captureMegabytes = 16;

    @Parameter(
            names = "--clock-ahead",
            hidden = true,
            description = "Milliseconds by which this process's clock is off, for the lab")
    private long clockAhead;

    private static final ComponentLogger LOG = ComponentLogger.of("node");
    private static final long MEGABYTE = 1 << 20;
    private static final int START_SECONDS = 20;

    @Override
    public int run() {
        OptionalFeatures features =
                settingsFile == null ? OptionalFeatures.NONE : new SettingsFileFeatures(settingsFile);
        PlatformConfig config;
        List<Frontend.Maker> frontends = new ArrayList<>();
        Clock clock = Clock.system(clockAhead);
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
                        config, clock, hotRestart(config, clock), frontends.toArray(Frontend.Maker[]::new))
                .keep(features.usageRecorder())
                .tell(features.requestListener());
        // Danger: by itself the JVM ends on SIGTERM with code 143; what was taken is answered first, then 0.
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
            server.start().toCompletionStage().toCompletableFuture().get(START_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("nettlewick: cannot listen: " + e.getMessage());
            Runtime.getRuntime().halt(Main.FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    /** Tells this process from others of the same dispatcher; null where that cannot be told. */
    private static HotRestart hotRestart(PlatformConfig config, Clock clock) {
        try {
            return config.listen().port() == 0
                    ? null
                    : new HotRestart(
                            Path.of(System.getProperty("java.io.tmpdir")),
                            config.name() + "-" + config.listen().port(),
                            (long) clock.now());
        } catch (UncheckedIOException e) {
            LOG.warning("no-upgrade", "no upgrade beside a living process: " + e.getMessage());
            return null;
        }
    }

    /** Danger: a bad file must not cost what is in force. Both are read before either counts. */
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
            return new CaptureWriter(Files.newOutputStream(Path.of(capture)), clock, captureMegabytes * MEGABYTE);
        } catch (IOException | IllegalArgumentException e) {
            throw new UsageException(Main.FAILED, "--capture " + capture + " cannot be written: " + e.getMessage());
        }
    }
}
