package nettlewick.sse;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import nettlewick.core.Request;
import nettlewick.log.ComponentLogger;
import nettlewick.net.client.HttpFrontend;
import nettlewick.net.client.RequestReader;

/**
 * Serves requests whose progress and result are streamed as server-sent events. A POST submits a request and answers
 * with its stream. A POST with the same id, or a GET of {@code /events/ID}, attaches to that stream and never submits
 * the request again. Confined to the event loop.
 */
public final class EventStreamFrontend extends HttpFrontend {
    private static final ComponentLogger LOG = ComponentLogger.of("edge");
    private static final String STREAM_PATH_PREFIX = "/events/";
    /** Bounds the kernel memory that a slow client takes, which could otherwise grow to megabytes. */
    private static final int SEND_BUFFER_BYTES = 32 * 1024;

    private static final long EXPIRY_INTERVAL_MILLIS = 500;
    private static final long MILLIS_PER_SECOND = 1000;

    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_METHOD_NOT_ALLOWED = 405;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNAVAILABLE = 503;

    private final EventStreamConfig config;
    private final RequestReader requestReader;
    private final StreamRegistry streams;
    private int subscriberCount;

    /** Creates the frontend and starts its timers on the event loop. */
    public EventStreamFrontend(Environment environment, EventStreamConfig config) {
        super(environment, config.listen(), SEND_BUFFER_BYTES, config.retentionMillis());
        this.config = config;
        requestReader = new RequestReader(environment.config());
        streams = new StreamRegistry(config.retentionMillis(), config.maxFinishedStreams());
        environment
                .vertx()
                .setPeriodic(config.heartbeatMillis(), id -> streams.streams().forEach(RequestStream::sendHeartbeats));
        environment
                .vertx()
                .setPeriodic(
                        EXPIRY_INTERVAL_MILLIS,
                        id -> streams.forgetExpired(environment.clock().nowMillis()));
    }

    @Override
    protected void handle(HttpServerRequest http) {
        String path = http.path();
        if (path != null && path.startsWith(STREAM_PATH_PREFIX)) {
            if (HttpMethod.GET.equals(http.method())) {
                resume(http, path.substring(STREAM_PATH_PREFIX.length()));
            } else {
                rejectMethod(http, "GET", "streams are read by GET");
            }
        } else if (!RequestReader.isRequestPath(path)) {
            RequestReader.reject(http, STATUS_NOT_FOUND, "no such path");
        } else if (!HttpMethod.POST.equals(http.method())) {
            rejectMethod(http, "POST", "jobs come by POST");
        } else {
            requestReader.read(http, arrivedAt(http), parsedRequest -> startOrAttach(http, parsedRequest));
        }
    }

    private static void rejectMethod(HttpServerRequest http, String allowed, String reason) {
        http.response().putHeader("Allow", allowed);
        RequestReader.reject(http, STATUS_METHOD_NOT_ALLOWED, reason);
    }

    private void resume(HttpServerRequest http, String encodedId) {
        String id;
        try {
            // URLDecoder reads form data, where a plus sign stands for a space.
            id = URLDecoder.decode(encodedId.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            RequestReader.reject(http, STATUS_BAD_REQUEST, "the stream's id is not percent-encoded");
            return;
        }
        RequestStream stream = streams.get(id);
        if (stream != null) {
            attach(http, id, stream);
        } else {
            RequestReader.reject(http, STATUS_NOT_FOUND, "no such stream");
        }
    }

    private void startOrAttach(HttpServerRequest http, RequestReader.ParsedRequest parsedRequest) {
        RequestStream existing = streams.get(parsedRequest.id());
        if (existing == null) {
            start(http, parsedRequest);
        } else if (existing.isSameRequest(parsedRequest.requestClass(), parsedRequest.tenant())) {
            attach(http, parsedRequest.id(), existing);
        } else {
            RequestReader.reject(http, STATUS_CONFLICT, "another job has this id");
        }
    }

    private void start(HttpServerRequest http, RequestReader.ParsedRequest parsedRequest) {
        RequestStream stream = new RequestStream(
                parsedRequest.requestClass(),
                parsedRequest.tenant(),
                task -> environment().eventLoop().runOnContext(v -> task.run()),
                finished -> streams.retainFinished(
                        parsedRequest.id(), finished, environment().clock().nowMillis()));
        LastEventId lastEventId = LastEventId.of(http);
        boolean mayHaveRun = streams.isForgotten(parsedRequest.id())
                || mayHaveRunElsewhere(parsedRequest.requestClass(), lastEventId);
        if (mayHaveRun) {
            LOG.warning(
                    "not-repeated",
                    "request " + parsedRequest.id() + " may have run before and is not sent; last event id "
                            + (lastEventId.isPresent() ? lastEventId.number() : "none"),
                    "request",
                    parsedRequest.id());
            stream.numberEventsAfter(lastEventId.number());
            stream.fail("the job was started before and its end is no longer known");
        }
        // Attaches before submitting, so that a request whose client cannot be answered is not started.
        if (attach(http, parsedRequest.id(), stream)) {
            streams.add(parsedRequest.id(), stream);
            if (!mayHaveRun) {
                submit(parsedRequest, stream);
            }
        }
    }

    /**
     * Whether another process, or an earlier life of this one, may have sent a request that this process does not know.
     * A client with an event id was connected to the request's stream, so the request was submitted. If the client has
     * seen no event, the request may still have run, which matters unless it can be repeated safely.
     */
    private boolean mayHaveRunElsewhere(String requestClass, LastEventId lastEventId) {
        return lastEventId.number() > 0
                || lastEventId.isPresent() && !environment().config().isIdempotentClass(requestClass);
    }

    private void submit(RequestReader.ParsedRequest parsedRequest, RequestStream stream) {
        Request request = parsedRequest.toRequest(stream);
        stream.setRequest(request, environment().coordinator().metrics().trackRequest(parsedRequest.requestClass()));
        environment().coordinator().submit(request);
    }

    /** Subscribes the response to the stream; returns false if it was answered in another way. */
    private boolean attach(HttpServerRequest http, String id, RequestStream stream) {
        HttpServerResponse response = http.response();
        long lastSeenId = LastEventId.of(http).number();
        if (stream.isFullySeen(lastSeenId)) {
            // A 204 makes an EventSource stop reconnecting.
            response.setStatusCode(STATUS_NO_CONTENT).end();
            return false;
        }
        if (subscriberCount >= config.maxSubscribers()) {
            long retryAfterSeconds = Math.max(1, config.retryMillis() / MILLIS_PER_SECOND);
            response.putHeader("Retry-After", Long.toString(retryAfterSeconds));
            RequestReader.reject(http, STATUS_UNAVAILABLE, "too many streams are open");
            return false;
        }
        response.putHeader(
                "Content-Location",
                STREAM_PATH_PREFIX
                        + URLEncoder.encode(id, StandardCharsets.UTF_8).replace("+", "%20"));
        if (environment().serviceState().isDrainingOrStopping()) {
            response.putHeader("Connection", "close");
        }
        subscribe(http, lastSeenId, stream);
        return true;
    }

    private void subscribe(HttpServerRequest http, long lastSeenId, RequestStream stream) {
        HttpServerResponse response = http.response();
        StreamSubscriber subscriber =
                new StreamSubscriber(response, lastSeenId, config.retryMillis(), () -> closeNow(http));
        subscriberCount++;
        // The client may disconnect before or after the final event is written, so both handlers may run.
        response.closeHandler(v -> onSubscriberLeft(stream, subscriber));
        subscriber.whenFinalEventWritten().onComplete(r -> onSubscriberLeft(stream, subscriber));
        stream.attach(subscriber);
    }

    private void onSubscriberLeft(RequestStream stream, StreamSubscriber subscriber) {
        if (!subscriber.markLeft()) {
            return;
        }
        subscriberCount--;
        if (stream.detach(subscriber)) {
            environment()
                    .vertx()
                    .setTimer(Math.max(1, config.abandonGraceMillis()), id -> abandonIfUnsubscribed(stream));
        }
    }

    private void abandonIfUnsubscribed(RequestStream stream) {
        if (!stream.hasSubscribers() && !stream.isEnded()) {
            environment().coordinator().abandon(stream.request());
            stream.fail("its client went away");
        }
    }
}
