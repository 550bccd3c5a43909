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

@Parameters(
        commandNames = "demo",
        commandDescription =
                "Run discovery, four sim runners and a dispatcher in one process on loopback, and say how to call it")
final class DemoCommand implements Command {
    @Parameter(names = "--seconds", description = "End by itself after so long; 0: at Ctrl-C")
    private int seconds;

    private static final int RUNNERS = 4;
    private static final int RUN_MILLIS = 400;

    @Override
    public int run() {
        try {
            Path folder = Files.createTempDirectory("nettlewick-demo");
            Path file = Files.writeString(folder.resolve("nettlewick.conf"), """
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
                    """.formatted(folder.resolve("ledger")));
            Settings settings = SettingsCommand.read(file.toString());
            LogSetup.apply(settings.block("log"));
            StubPlatform world = new StubPlatform();
            world.runTime = RUN_MILLIS;
            for (int i = 1; i <= RUNNERS; i++) {
                world.addRunner("runner-" + i);
            }
            Map<String, Object> text = world.config();
            text.put("admin_addr", "127.0.0.1:0");
            PlatformConfig config = PlatformConfig.of(new Gson().toJson(text), Map.of());
            Clock clock = Clock.system();
            LedgerService ledger = new LedgerService(
                    config.name(), LedgerSettings.of(settings.block("ledger").orElseThrow()), clock, config.seed());
            ledger.start();
            EventStreamConfig edge = EventStreamConfig.of(settings.block("edge").orElseThrow());
            DispatcherServer node = new DispatcherServer(
                            config, clock, PlatformFrontend::new, base -> new EventStreamFrontend(base, edge))
                    .keep(ledger.books());
            StubPlatform.get(node.start());
            Thread end = new Thread(() -> end(node, ledger, world, folder), "demo-end");
            Runtime.getRuntime().addShutdownHook(end);
            print(node.ports(), node.adminPort(), file);
            if (seconds > 0) {
                TimeUnit.SECONDS.sleep(seconds);
                System.exit(0);
            }
            Thread.currentThread().join();
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Main.FAILED;
        } catch (UsageException e) {
            throw e;
        } catch (Exception e) {
            throw new UsageException(Main.FAILED, "the demonstration cannot start: " + e);
        }
    }

    private static void print(List<Integer> ports, int admin, Path file) {
        String jar = Path.of(DemoCommand.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .getPath())
                .toString();
        String head = "-H 'X-Class: step-view' -H 'X-Tenant: red' -H 'X-Deadline: 4' -d '{}'";
        System.out.printf("""
                discovery, %d sim runners and a dispatcher are up; Ctrl-C ends them

                a job:        curl -s -H "X-Request-Id: $RANDOM$RANDOM" %s http://127.0.0.1:%d/api
                a stream:     curl -sN -H "X-Request-Id: $RANDOM$RANDOM" %s http://127.0.0.1:%d/api
                the figures:  curl -s http://127.0.0.1:%d/-/metrics
                a statement:  java -jar %s ledger statement --settings %s
                """, RUNNERS, head, ports.get(0), head, ports.get(1), admin, jar, file);
        System.out.flush();
    }

    private static void end(DispatcherServer node, LedgerService ledger, StubPlatform world, Path folder) {
        try {
            StubPlatform.get(node.close());
            ledger.close();
            world.close();
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException e) {
            System.err.println("nettlewick: " + folder + " is left: " + e);
        } catch (Exception e) {
            System.err.println("nettlewick: " + e);
        }
    }
}
