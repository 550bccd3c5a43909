package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import nettlewick.core.Clock;
import nettlewick.net.DispatcherServer;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.format.JsonFields;
import nettlewick.pcap.Capture;
import nettlewick.pcap.CaptureReplayer;

/** Replays the requests of a capture file through a dispatcher. */
@Parameters(commandDescription = "Send the requests of a capture file at their recorded spacing")
final class ReplayCommand implements Command {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public int run() {
        Capture capture;
        try {
            capture = Capture.read(Path.of(file));
        } catch (IOException | IllegalArgumentException e) {
            throw new CommandException(Main.EXIT_FAILURE, file + ": " + e.getMessage());
        }
        Promise<CaptureReplayer> replayerPromise = Promise.promise();
        try {
            DispatcherServer server =
                    new DispatcherServer(PlatformConfig.load(System.getenv()), Clock.system(), base -> {
                        CaptureReplayer replayer = new CaptureReplayer(base, capture);
                        replayerPromise.complete(replayer);
                        return replayer;
                    });
            Future<CaptureReplayer.Summary> summary =
                    server.start().compose(v -> replayerPromise.future()).compose(CaptureReplayer::whenDone);
            System.out.println(summary.toCompletionStage().toCompletableFuture().get());
            server.close();
            return 0;
        } catch (JsonFields.InvalidFieldException e) {
            throw new CommandException(Main.EXIT_USAGE_ERROR, e.getMessage());
        } catch (ExecutionException e) {
            throw new CommandException(
                    Main.EXIT_FAILURE, "replay failed: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Main.EXIT_FAILURE;
        }
    }
}
