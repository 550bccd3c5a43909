package nettlewick.pcap;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import nettlewick.core.Request;
import nettlewick.net.client.Frontend;
import nettlewick.net.client.RequestReader;

/** Submits the requests of a capture file to the core at their recorded intervals. Confined to the event loop. */
public final class CaptureReplayer implements Frontend {
    private static final long ENDPOINT_LIST_POLL_INTERVAL_MILLIS = 20;
    /** After this many polls the replay starts without an endpoint list. */
    private static final int MAX_ENDPOINT_LIST_POLLS = 500;

    private static final int STATUS_NOT_FOUND = 404;

    private final Environment environment;
    private final Capture capture;
    private final RequestReader requestReader;
    private final Promise<Summary> summaryPromise = Promise.promise();
    private int pendingCount;
    private int servedCount;
    private int rejectedCount;
    private int failedCount;
    private int invalidCount;
    private int unrepeatableCount;

    /**
     * The number of requests by outcome.
     *
     * @param sent         the number submitted to the core
     * @param invalid      not submitted, because they are not valid requests to the dispatcher
     * @param unrepeatable not submitted, because they may have run and must not run again
     * @param incomplete   not submitted, because bytes are missing in the capture or they are malformed
     */
    public record Summary(
            int sent, int served, int rejected, int failed, int invalid, int unrepeatable, int incomplete) {
        @Override
        public String toString() {
            return "replayed " + sent + " requests: " + served + " served, " + rejected + " rejected, "
                    + failed + " failed; skipped " + invalid + " invalid, "
                    + unrepeatable + " that must not run again and "
                    + incomplete + " incomplete requests";
        }
    }

    /** Creates a replayer. The replay starts with {@link #listen}. */
    public CaptureReplayer(Environment environment, Capture capture) {
        this.environment = environment;
        this.capture = capture;
        requestReader = new RequestReader(environment.config());
    }

    /** Completes when all requests have received their final response. */
    public Future<Summary> whenDone() {
        return summaryPromise.future();
    }

    @Override
    public Future<Integer> listen() {
        startWhenEndpointListArrives(0);
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

    private void startWhenEndpointListArrives(int polls) {
        if (!environment.canServe().getAsBoolean() && polls < MAX_ENDPOINT_LIST_POLLS) {
            environment
                    .vertx()
                    .setTimer(ENDPOINT_LIST_POLL_INTERVAL_MILLIS, id -> startWhenEndpointListArrives(polls + 1));
            return;
        }
        List<RecordedRequest> requests = capture.requests();
        pendingCount = requests.size();
        completeIfNonePending();
        for (RecordedRequest recorded : requests) {
            double delayMillis = recorded.capturedAtMillis() - requests.get(0).capturedAtMillis();
            environment.vertx().setTimer(Math.max(1, Math.round(delayMillis)), id -> submitOrSkip(recorded));
        }
    }

    private void submitOrSkip(RecordedRequest recorded) {
        RequestReader.ParsedRequest parsed;
        try {
            parsed = parseRequest(recorded);
        } catch (RequestReader.InvalidRequestException e) {
            countCompletion(() -> invalidCount++);
            return;
        }
        double latestStart = ReplayPolicy.latestStartMillis(
                environment.config().requestClass(parsed.requestClass()),
                parsed.forwarded().idempotencyKey(),
                recorded.capturedAtMillis());
        if (environment.clock().nowMillis() >= latestStart) {
            countCompletion(() -> unrepeatableCount++);
            return;
        }
        environment.coordinator().submit(parsed.withDeadlineBy(latestStart).toRequest(new CountingCaller()));
    }

    private RequestReader.ParsedRequest parseRequest(RecordedRequest recorded)
            throws RequestReader.InvalidRequestException {
        String path = recorded.uri().split("\\?", 2)[0];
        if (!"POST".equals(recorded.method()) || !RequestReader.isRequestPath(path)) {
            throw new RequestReader.InvalidRequestException(STATUS_NOT_FOUND, "not a request to the dispatcher");
        }
        return requestReader.parse(
                HttpMethod.POST,
                recorded.uri(),
                recorded.headers(),
                recorded.body(),
                environment.clock().nowMillis());
    }

    /** Counts the final outcome of one request. */
    private final class CountingCaller implements Request.Caller {
        @Override
        public void onServed(byte[] result) {
            countCompletion(() -> servedCount++);
        }

        @Override
        public void onRejected(double retryAfterMillis) {
            countCompletion(() -> rejectedCount++);
        }

        @Override
        public void onFailed(String reason) {
            countCompletion(() -> failedCount++);
        }
    }

    private void countCompletion(Runnable incrementCounter) {
        environment.eventLoop().runOnContext(v -> {
            incrementCounter.run();
            pendingCount--;
            completeIfNonePending();
        });
    }

    private void completeIfNonePending() {
        if (pendingCount == 0) {
            int sent = servedCount + rejectedCount + failedCount;
            summaryPromise.tryComplete(new Summary(
                    sent,
                    servedCount,
                    rejectedCount,
                    failedCount,
                    invalidCount,
                    unrepeatableCount,
                    capture.incompleteCount()));
        }
    }
}
