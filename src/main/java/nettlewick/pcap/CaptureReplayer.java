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
    private static final long LIST_POLL_INTERVAL_MILLIS = 20;
    private static final int MAX_LIST_POLLS = 500;

    private final Base base;
    private final Capture capture;
    private final RequestReader reader;
    private final Promise<Summary> done = Promise.promise();
    private int unansweredCount;
    private int servedCount;
    private int rejectedCount;
    private int failedCount;
    private int skippedCount;

    /** What became of the requests. */
    public record Summary(int sent, int served, int rejected, int failed, int skipped, int incomplete) {
        @Override
        public String toString() {
            return "replayed " + sent + " requests: " + served + " served, " + rejected + " unavailable, "
                    + failed + " failed; left out " + skipped + " that are no jobs in order and "
                    + incomplete + " incomplete";
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
        startWhenListed(0);
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

    private void startWhenListed(int looks) {
        if (!base.holdsList().getAsBoolean() && looks < MAX_LIST_POLLS) {
            base.vertx().setTimer(LIST_POLL_INTERVAL_MILLIS, id -> startWhenListed(looks + 1));
            return;
        }
        List<RecordedRequest> requests = capture.requests();
        unansweredCount = requests.size();
        completeIfAllAnswered();
        for (RecordedRequest r : requests) {
            double wait = r.capturedAtMillis() - requests.get(0).capturedAtMillis();
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
                    countEnd(() -> servedCount++);
                }

                @Override
                public void rejected(double retryAfter) {
                    countEnd(() -> rejectedCount++);
                }

                @Override
                public void failed(String reason) {
                    countEnd(() -> failedCount++);
                }
            }));
        } catch (RequestReader.InvalidRequestException e) {
            countEnd(() -> skippedCount++);
        }
    }

    private void countEnd(Runnable count) {
        base.loop().runOnContext(v -> {
            count.run();
            unansweredCount--;
            completeIfAllAnswered();
        });
    }

    private void completeIfAllAnswered() {
        if (unansweredCount == 0) {
            done.tryComplete(new Summary(
                    servedCount + rejectedCount + failedCount,
                    servedCount,
                    rejectedCount,
                    failedCount,
                    skippedCount,
                    capture.incompleteCount()));
        }
    }
}
