package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.gson.Gson;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import nettlewick.admin.AdminFrontend;
import nettlewick.core.Clock;
import nettlewick.ledger.LedgerService;
import nettlewick.ledger.LedgerSettings;
import nettlewick.log.LogSetup;
import nettlewick.net.DispatcherServer;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.config.PlatformConfig;
import nettlewick.settings.Settings;
import nettlewick.sse.EventStreamConfig;
import nettlewick.sse.EventStreamFrontend;
import nettlewick.stubs.StubPlatform;

/** Runs a demo platform in one process: discovery, endpoints and a dispatcher. */
@Parameters(
        commandDescription =
                "Run discovery, four endpoints and a dispatcher in one process on loopback, and print how to call them")
final class DemoCommand implements Command {
    @Parameter(names = "--seconds", description = "End after this many seconds; 0: at Ctrl-C")
    private int seconds;

    private static final int ENDPOINT_COUNT = 4;
    private static final int EXECUTION_MILLIS = 400;
    /** The settings file; {@code %s} is the folder of the ledger. */
    private static final String SETTINGS_TEMPLATE = """
            log {
                level warning
            }
            edge {
                listen 127.0.0.1:0
            }
            ledger {
                store "%s"
                mode batch 20ms
            }
            """;

    @Override
    public int run() {
        try {
            start();
            if (seconds > 0) {
                TimeUnit.SECONDS.sleep(seconds);
                System.exit(0);
            }
            Thread.currentThread().join();
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Main.EXIT_FAILURE;
        } catch (CommandException e) {
            throw e;
        } catch (Exception e) {
            throw new CommandException(Main.EXIT_FAILURE, "cannot start the demo: " + e);
        }
    }

    private static void start() throws Exception {
        Path folder = Files.createTempDirectory("nettlewick-demo");
        Path settingsFile = Files.writeString(
                folder.resolve("nettlewick.conf"), SETTINGS_TEMPLATE.formatted(folder.resolve("ledger")));
        Settings settings = SettingsCommand.read(settingsFile.toString());
        LogSetup.apply(settings.block("log"));
        StubPlatform platform = startPlatform();
        PlatformConfig config = config(platform);
        Clock clock = Clock.system();
        LedgerService ledger = new LedgerService(
                config.name(), LedgerSettings.of(settings.block("ledger").orElseThrow()), clock, config.seed());
        ledger.start();
        EventStreamConfig eventStreams =
                EventStreamConfig.of(settings.block("edge").orElseThrow());
        DispatcherServer server = new DispatcherServer(
                        config, clock, PlatformFrontend::new, base -> new EventStreamFrontend(base, eventStreams))
                .withUsageRecorder(ledger.recorder())
                .withAdminServer(AdminFrontend::new);
        StubPlatform.awaitResult(server.start());
        Thread shutdown = new Thread(() -> shutDown(server, ledger, platform, folder), "demo-end");
        Runtime.getRuntime().addShutdownHook(shutdown);
        printUsage(server.ports(), server.adminPort(), settingsFile);
    }

    private static StubPlatform startPlatform() throws Exception {
        StubPlatform platform = new StubPlatform();
        platform.executionMillis = EXECUTION_MILLIS;
        for (int i = 1; i <= ENDPOINT_COUNT; i++) {
            platform.addEndpoint("runner-" + i);
        }
        return platform;
    }

    private static PlatformConfig config(StubPlatform platform) {
        Map<String, Object> fields = platform.config();
        fields.put("admin_addr", "127.0.0.1:0");
        return PlatformConfig.parse(new Gson().toJson(fields), Map.of());
    }

    private static void printUsage(List<Integer> ports, int adminPort, Path settingsFile) {
        String jar = Path.of(DemoCommand.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .getPath())
                .toString();
        String curlOptions = "-H 'X-Class: step-view' -H 'X-Tenant: red' -H 'X-Deadline: 4' -d '{}'";
        System.out.printf(
                """
                discovery, %d endpoints and a dispatcher are up; Ctrl-C ends them

                a request:    curl -s -H "X-Request-Id: $RANDOM$RANDOM" %s http://127.0.0.1:%d/api
                a stream:     curl -sN -H "X-Request-Id: $RANDOM$RANDOM" %s http://127.0.0.1:%d/api
                metrics:      curl -s http://127.0.0.1:%d/-/metrics
                a statement:  java -jar %s ledger statement --settings %s
                """,
                ENDPOINT_COUNT, curlOptions, ports.get(0), curlOptions, ports.get(1), adminPort, jar, settingsFile);
        System.out.flush();
    }

    private static void shutDown(DispatcherServer server, LedgerService ledger, StubPlatform platform, Path folder) {
        try {
            StubPlatform.awaitResult(server.close());
            ledger.close();
            platform.close();
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException e) {
            System.err.println("nettlewick: cannot delete " + folder + ": " + e);
        } catch (Exception e) {
            System.err.println("nettlewick: shutdown failed: " + e);
        }
    }
}
