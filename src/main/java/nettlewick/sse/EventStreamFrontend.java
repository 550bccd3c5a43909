package nettlewick.sse;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import nettlewick.core.Metrics;
import nettlewick.core.Request;
import nettlewick.net.client.HttpFrontend;
import nettlewick.net.client.RequestReader;

/**
 * Server-sent events for progress. A POST starts a job and answers with its stream; the same id once more,
 * or a GET of {@code /events/ID}, attaches to the job and never sends it anew. Lives on the event loop.
 */
public final class EventStreamFrontend extends HttpFrontend {
    private static final String STREAM_PATH_PREFIX = "/events/";
    /** Kernel memory for one slow reader: left alone, the kernel would grow it to megabytes. */
    private static final int SEND_BUFFER_BYTES = 32 * 1024;

    private static final long EXPIRY_INTERVAL_MILLIS = 500;

    private final EventStreamConfig config;
    private final RequestReader requestReader;
    private final StreamRegistry streams;
    private int subscriberCount;

    public EventStreamFrontend(Base base, EventStreamConfig edge) {
        super(base, edge.listen(), SEND_BUFFER_BYTES);
        this.config = edge;
        requestReader = new RequestReader(base.config());
        streams = new StreamRegistry(edge.retentionMillis(), edge.maxFinishedStreams());
        base.vertx()
                .setPeriodic(edge.heartbeatMillis(), id -> streams.streams().forEach(RequestStream::sendHeartbeats));
        base.vertx()
                .setPeriodic(
                        EXPIRY_INTERVAL_MILLIS,
                        id -> streams.forgetExpired(base.clock().now()));
    }

    @Override
    protected void handle(HttpServerRequest http) {
        String path = http.path();
        if (path != null && path.startsWith(STREAM_PATH_PREFIX)) {
            if (HttpMethod.GET.equals(http.method())) {
                resume(http, path.substring(STREAM_PATH_PREFIX.length()));
            } else {
                http.response().putHeader("Allow", "GET");
                RequestReader.reject(http, 405, "streams are read by GET");
            }
        } else if (!RequestReader.isJob(path)) {
            RequestReader.reject(http, 404, "no such path");
        } else if (!HttpMethod.POST.equals(http.method())) {
            http.response().putHeader("Allow", "POST");
            RequestReader.reject(http, 405, "jobs come by POST");
        } else {
            requestReader.read(http, arrivedAt(http), draft -> startOrAttach(http, draft));
        }
    }

    private void resume(HttpServerRequest http, String encoded) {
        String id;
        try {
            id = URLDecoder.decode(encoded.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            RequestReader.reject(http, 400, "the stream's id is not percent-encoded");
            return;
        }
        RequestStream stream = streams.get(id);
        if (stream != null) {
            attach(http, id, stream);
        } else {
            RequestReader.reject(http, 404, "no such stream");
        }
    }

    private void startOrAttach(HttpServerRequest http, RequestReader.Draft draft) {
        RequestStream known = streams.get(draft.id());
        if (known != null) {
            if (known.isSameRequest(draft.jobClass(), draft.tenant())) {
                attach(http, draft.id(), known);
            } else {
                RequestReader.reject(http, 409, "another job has this id");
            }
            return;
        }
        Metrics.Ticket[] ticket = new Metrics.Ticket[1];
        RequestStream stream = new RequestStream(
                draft.jobClass(), draft.tenant(), task -> base.loop().runOnContext(v -> task.run()), ended -> {
                    streams.retainFinished(draft.id(), ended, base.clock().now());
                    if (ticket[0] != null) {
                        ended.countEnd(ticket[0]);
                    }
                });
        if (streams.isForgotten(draft.id()) || lastSeenId(http) > 0) {
            // Danger: the job ran under this id, here or in a life of this dispatcher that is over. Its end
            // is forgotten, and sending it again might do it twice.
            stream.numberEventsAfter(lastSeenId(http));
            stream.fail("the job was started before and its end is no longer known");
            if (attach(http, draft.id(), stream)) {
                streams.add(draft.id(), stream);
            }
            return;
        }
        // Attached before it is submitted: a job that no client can be told of is not begun.
        if (attach(http, draft.id(), stream)) {
            streams.add(draft.id(), stream);
            Request request = draft.with(stream);
            stream.setRequest(request);
            ticket[0] = base.core().figures().taken(draft.jobClass());
            base.core().submit(request);
        }
    }

    /** The id of the last event that the client says it has seen; 0 for none. */
    private static long lastSeenId(HttpServerRequest http) {
        String text = http.getHeader("Last-Event-ID");
        try {
            return text == null ? 0 : Math.max(0, Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Makes the response a stream of the job; false if it was answered otherwise. */
    private boolean attach(HttpServerRequest http, String id, RequestStream stream) {
        HttpServerResponse response = http.response();
        long after = lastSeenId(http);
        if (stream.isFullySeen(after)) {
            // To an EventSource this status says: do not connect again.
            response.setStatusCode(204).end();
            return false;
        }
        if (subscriberCount >= config.maxSubscribers()) {
            response.putHeader("Retry-After", Long.toString(Math.max(1, config.retryMillis() / 1000)));
            RequestReader.reject(http, 503, "too many streams are open");
            return false;
        }
        response.putHeader(
                "Content-Location",
                STREAM_PATH_PREFIX
                        + URLEncoder.encode(id, StandardCharsets.UTF_8).replace("+", "%20"));
        if (base.state().leaving()) {
            response.putHeader("Connection", "close");
        }
        StreamSubscriber joined = new StreamSubscriber(response, after, config.retryMillis());
        subscriberCount++;
        // Either may come first, or both: the final event is written, or the client goes away.
        response.closeHandler(v -> onSubscriberLeft(stream, joined));
        joined.whenFinalEventWritten().onComplete(r -> onSubscriberLeft(stream, joined));
        stream.attach(joined);
        return true;
    }

    private void onSubscriberLeft(RequestStream stream, StreamSubscriber left) {
        if (!left.markLeft()) {
            return;
        }
        subscriberCount--;
        if (stream.detach(left)) {
            base.vertx().setTimer(Math.max(1, config.abandonGraceMillis()), id -> {
                if (!stream.hasSubscribers() && !stream.isEnded()) {
                    base.core().abandon(stream.request());
                    stream.fail("its client went away");
                }
            });
        }
    }
}
