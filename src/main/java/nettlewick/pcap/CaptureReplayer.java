package nettlewick.pcap;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import nettlewick.core.Request;
import nettlewick.net.client.Frontend;
import nettlewick.net.client.RequestReader;

/** Submits the requests of a capture file to the core at their recorded intervals. Lives on the event loop. */
public final class CaptureReplayer implements Frontend {
    private static final long LIST_POLL_INTERVAL_MILLIS = 20;
    /** After that many polls the replay starts without an endpoint list. */
    private static final int MAX_LIST_POLLS = 500;

    private static final int STATUS_NOT_FOUND = 404;

    private final Environment base;
    private final Capture capture;
    private final RequestReader requestReader;
    private final Promise<Summary> done = Promise.promise();
    private int unansweredCount;
    private int servedCount;
    private int rejectedCount;
    private int failedCount;
    private int skippedCount;

    /**
     * How many of the requests ended how.
     *
     * @param sent       submitted to the core
     * @param skipped    left out, since they are no valid requests to the dispatcher
     * @param incomplete left out, since the capture misses bytes of them or they are malformed
     */
    public record Summary(int sent, int served, int rejected, int failed, int skipped, int incomplete) {
        @Override
        public String toString() {
            return "replayed " + sent + " requests: " + served + " served, " + rejected + " unavailable, "
                    + failed + " failed; left out " + skipped + " that are no jobs in order and "
                    + incomplete + " incomplete";
        }
    }

    /** Creates a replayer; it starts with {@link #listen}. */
    public CaptureReplayer(Environment base, Capture capture) {
        this.base = base;
        this.capture = capture;
        requestReader = new RequestReader(base.config());
    }

    /** Completes when every request has its final answer. */
    public Future<Summary> whenDone() {
        return done.future();
    }

    @Override
    public Future<Integer> listen() {
        startWhenListed(0);
        return Future.succeededFuture(0);
    }

    @Override
    public boolean hasConnections() {
        return false;
    }

    @Override
    public Future<Void> closeConnections(long millis) {
        return Future.succeededFuture();
    }

    private void startWhenListed(int polls) {
        if (!base.canServe().getAsBoolean() && polls < MAX_LIST_POLLS) {
            base.vertx().setTimer(LIST_POLL_INTERVAL_MILLIS, id -> startWhenListed(polls + 1));
            return;
        }
        List<RecordedRequest> requests = capture.requests();
        unansweredCount = requests.size();
        completeIfAllAnswered();
        for (RecordedRequest recorded : requests) {
            double delayMillis = recorded.capturedAtMillis() - requests.get(0).capturedAtMillis();
            base.vertx().setTimer(Math.max(1, Math.round(delayMillis)), id -> submitOrSkip(recorded));
        }
    }

    private void submitOrSkip(RecordedRequest recorded) {
        try {
            base.coordinator().submit(readDraft(recorded).toRequest(new CountingCaller()));
        } catch (RequestReader.InvalidRequestException e) {
            countEnd(() -> skippedCount++);
        }
    }

    private RequestReader.ParsedRequest readDraft(RecordedRequest recorded)
            throws RequestReader.InvalidRequestException {
        String path = recorded.uri().split("\\?", 2)[0];
        if (!"POST".equals(recorded.method()) || !RequestReader.isRequestPath(path)) {
            throw new RequestReader.InvalidRequestException(STATUS_NOT_FOUND, "not a job");
        }
        return requestReader.parse(
                HttpMethod.POST,
                recorded.uri(),
                recorded.headers(),
                recorded.body(),
                base.clock().nowMillis());
    }

    /** Counts the final answer of one request. */
    private final class CountingCaller implements Request.Caller {
        @Override
        public void onServed(byte[] result) {
            countEnd(() -> servedCount++);
        }

        @Override
        public void onRejected(double retryAfterMillis) {
            countEnd(() -> rejectedCount++);
        }

        @Override
        public void onFailed(String reason) {
            countEnd(() -> failedCount++);
        }
    }

    private void countEnd(Runnable count) {
        base.eventLoop().runOnContext(v -> {
            count.run();
            unansweredCount--;
            completeIfAllAnswered();
        });
    }

    private void completeIfAllAnswered() {
        if (unansweredCount == 0) {
            int sent = servedCount + rejectedCount + failedCount;
            done.tryComplete(new Summary(
                    sent, servedCount, rejectedCount, failedCount, skippedCount, capture.incompleteCount()));
        }
    }
}
