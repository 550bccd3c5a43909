package nettlewick.pcap;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import nettlewick.core.Request;
import nettlewick.net.client.Frontend;
import nettlewick.net.client.RequestReader;

/** A capture file as a source of traffic: its requests go to the core at their recorded spacing. */
public final class CaptureReplayer implements Frontend {
    private static final long LOOK = 20;
    private static final int LOOKS_MOST = 500;

    private final Base base;
    private final Capture capture;
    private final RequestReader reader;
    private final Promise<Summary> done = Promise.promise();
    private int left;
    private int served;
    private int refused;
    private int failed;
    private int skipped;

    /** What became of the requests. */
    public record Summary(int sent, int served, int refused, int failed, int skipped, int lost) {
        @Override
        public String toString() {
            return "replayed " + sent + " requests: " + served + " served, " + refused + " unavailable, "
                    + failed + " failed; left out " + skipped + " that are no jobs in order and "
                    + lost + " incomplete";
        }
    }

    public CaptureReplayer(Base base, Capture capture) {
        this.base = base;
        this.capture = capture;
        reader = new RequestReader(base.config());
    }

    /** Done when every request has its final answer. */
    public Future<Summary> done() {
        return done.future();
    }

    @Override
    public Future<Integer> listen() {
        begin(0);
        return Future.succeededFuture(0);
    }

    @Override
    public boolean connected() {
        return false;
    }

    @Override
    public Future<Void> shut(long millis) {
        return Future.succeededFuture();
    }

    private void begin(int looks) {
        if (!base.holdsList().getAsBoolean() && looks < LOOKS_MOST) {
            base.vertx().setTimer(LOOK, id -> begin(looks + 1));
            return;
        }
        List<RecordedRequest> requests = capture.requests();
        left = requests.size();
        finish();
        for (RecordedRequest r : requests) {
            double wait = r.at() - requests.get(0).at();
            base.vertx().setTimer(Math.max(1, Math.round(wait)), id -> send(r));
        }
    }

    private void send(RecordedRequest r) {
        String path = r.uri().split("\\?", 2)[0];
        try {
            if (!"POST".equals(r.method()) || !RequestReader.isJob(path)) {
                throw new RequestReader.InvalidRequestException(404, "not a job");
            }
            RequestReader.Draft draft = reader.draft(
                    HttpMethod.POST,
                    r.uri(),
                    r.headers(),
                    r.body(),
                    base.clock().now());
            base.core().submit(draft.with(new Request.Caller() {
                @Override
                public void served(byte[] result) {
                    over(() -> served++);
                }

                @Override
                public void rejected(double retryAfter) {
                    over(() -> refused++);
                }

                @Override
                public void failed(String reason) {
                    over(() -> failed++);
                }
            }));
        } catch (RequestReader.InvalidRequestException e) {
            over(() -> skipped++);
        }
    }

    private void over(Runnable count) {
        base.loop().runOnContext(v -> {
            count.run();
            left--;
            finish();
        });
    }

    private void finish() {
        if (left == 0) {
            done.tryComplete(new Summary(served + refused + failed, served, refused, failed, skipped, capture.lost()));
        }
    }
}
