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
import nettlewick.net.client.Frontend;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.client.TrafficListener;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.format.JsonFields;
import nettlewick.net.lifecycle.HotRestart;
import nettlewick.pcap.CaptureWriter;

@Parameters(commandNames = "serve", commandDescription = "Run one real dispatcher, as $ROUTER_CONFIG tells")
final class ServeCommand implements Command {
    @Parameter(names = "--settings", description = "File with settings of our own: further fronts, logs, ledger")
    private String settingsFile;

    @Parameter(names = "--capture", description = "File that the traffic served is written to, as pcap")
    private String capture;

    @Parameter(names = "--capture-mb", description = "Most megabytes of that file")
    private int captureMost = 16;

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
        OptionalFeatures more = settingsFile == null ? OptionalFeatures.NONE : new SettingsFile(settingsFile);
        PlatformConfig config;
        List<Frontend.Maker> fronts = new ArrayList<>();
        Clock clock = Clock.system(clockAhead);
        try {
            config = PlatformConfig.load(System.getenv());
            TrafficListener tap = capture == null ? TrafficListener.NONE : writer(clock);
            fronts.add(base -> new PlatformFrontend(base, tap));
            more.fronts(fronts);
            more.start(config, clock);
        } catch (JsonFields.InvalidFieldException e) {
            throw new UsageException(Main.MISUSED, e.getMessage());
        } catch (IOException e) {
            throw new UsageException(Main.FAILED, "cannot start: " + e.getMessage());
        }
        DispatcherServer node = new DispatcherServer(
                        config, clock, succession(config, clock), fronts.toArray(Frontend.Maker[]::new))
                .keep(more.books())
                .tell(more.witness());
        // Danger: by itself the JVM ends on SIGTERM with code 143; what was taken is answered first, then 0.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            node.shutDown();
                            more.close();
                            Runtime.getRuntime().halt(0);
                        },
                        "shutdown"));
        ReloadSignal.serve(() -> reread(node, more));
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

    /** Tells this process from others of the same dispatcher; null where that cannot be told. */
    private static HotRestart succession(PlatformConfig config, Clock clock) {
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
    private static void reread(DispatcherServer node, OptionalFeatures more) {
        try {
            PlatformConfig config = PlatformConfig.reload(System.getenv());
            more.reread().run();
            node.reload(config);
        } catch (RuntimeException e) {
            LOG.warning("old-configuration-stays", "the old configuration stays: " + e.getMessage());
        }
    }

    private TrafficListener writer(Clock clock) {
        try {
            return new CaptureWriter(Files.newOutputStream(Path.of(capture)), clock, captureMost * MEGABYTE);
        } catch (IOException | IllegalArgumentException e) {
            throw new UsageException(Main.FAILED, "--capture " + capture + " cannot be written: " + e.getMessage());
        }
    }
}
