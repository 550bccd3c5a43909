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
import nettlewick.log.Part;
import nettlewick.net.Config;
import nettlewick.net.Fields;
import nettlewick.net.Front;
import nettlewick.net.Node;
import nettlewick.net.PlatformFront;
import nettlewick.net.Succession;
import nettlewick.net.Tap;
import nettlewick.pcap.CaptureWriter;

@Parameters(commandNames = "serve", commandDescription = "Run one real dispatcher, as $ROUTER_CONFIG tells")
final class Serve implements Command {
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

    private static final Part LOG = Part.of("node");
    private static final long MEGABYTE = 1 << 20;
    private static final int START_SECONDS = 20;

    @Override
    public int run() {
        Additions more = settingsFile == null ? Additions.NONE : new SettingsFile(settingsFile);
        Config config;
        List<Front.Maker> fronts = new ArrayList<>();
        Clock clock = Clock.system(clockAhead);
        try {
            config = Config.load(System.getenv());
            Tap tap = capture == null ? Tap.NONE : writer(clock);
            fronts.add(base -> new PlatformFront(base, tap));
            more.fronts(fronts);
            more.start(config, clock);
        } catch (Fields.Bad e) {
            throw new Misuse(Main.MISUSED, e.getMessage());
        } catch (IOException e) {
            throw new Misuse(Main.FAILED, "cannot start: " + e.getMessage());
        }
        Node node = new Node(config, clock, succession(config, clock), fronts.toArray(Front.Maker[]::new))
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
        Hangup.serve(() -> reread(node, more));
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
    private static Succession succession(Config config, Clock clock) {
        try {
            return config.listen().port() == 0
                    ? null
                    : new Succession(
                            Path.of(System.getProperty("java.io.tmpdir")),
                            config.name() + "-" + config.listen().port(),
                            (long) clock.now());
        } catch (UncheckedIOException e) {
            LOG.warning("no-upgrade", "no upgrade beside a living process: " + e.getMessage());
            return null;
        }
    }

    /** Danger: a bad file must not cost what is in force. Both are read before either counts. */
    private static void reread(Node node, Additions more) {
        try {
            Config config = Config.reload(System.getenv());
            more.reread().run();
            node.reload(config);
        } catch (RuntimeException e) {
            LOG.warning("old-configuration-stays", "the old configuration stays: " + e.getMessage());
        }
    }

    private Tap writer(Clock clock) {
        try {
            return new CaptureWriter(Files.newOutputStream(Path.of(capture)), clock, captureMost * MEGABYTE);
        } catch (IOException | IllegalArgumentException e) {
            throw new Misuse(Main.FAILED, "--capture " + capture + " cannot be written: " + e.getMessage());
        }
    }
}
