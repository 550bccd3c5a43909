package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import nettlewick.core.Clock;
import nettlewick.net.Config;
import nettlewick.net.Fields;
import nettlewick.net.Node;
import nettlewick.pcap.Capture;
import nettlewick.pcap.ReplayFront;

@Parameters(
        commandNames = "replay",
        commandDescription = "Send the requests of a capture file at their recorded spacing")
final class Replay implements Command {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public int run() {
        Capture capture;
        try {
            capture = Capture.read(Path.of(file));
        } catch (IOException | IllegalArgumentException e) {
            throw new Misuse(Main.FAILED, file + ": " + e.getMessage());
        }
        Promise<ReplayFront> made = Promise.promise();
        try {
            Node node = new Node(Config.load(System.getenv()), Clock.system(), base -> {
                ReplayFront front = new ReplayFront(base, capture);
                made.complete(front);
                return front;
            });
            Future<ReplayFront.Summary> done =
                    node.start().compose(v -> made.future()).compose(ReplayFront::done);
            System.out.println(done.toCompletionStage().toCompletableFuture().get());
            node.close();
            return 0;
        } catch (Fields.Bad e) {
            throw new Misuse(Main.MISUSED, e.getMessage());
        } catch (ExecutionException e) {
            throw new Misuse(Main.FAILED, "cannot replay: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Main.FAILED;
        }
    }
}
