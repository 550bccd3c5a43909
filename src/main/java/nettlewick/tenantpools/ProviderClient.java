package nettlewick.tenantpools;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettlewick.tenantpools.PoolState.ResizeRequest;

/** Asks the provider over HTTP (docs/pools.md); each question gets exactly one answer, on any thread. */
final class ProviderClient implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_PRECONDITION_FAILED = 412;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int MAX_CONNECTIONS = 4;
    private static final double MILLIS_PER_SECOND = 1000;

    /** What became of a question. */
    enum Outcome {
        REPORTED,
        VERSION_CONFLICT,
        FENCED,
        RETRY_LATER,
        NO_ANSWER
    }

    /**
     * @param told  where it is TOLD
     * @param fence where it is FENCED: the highest that the provider has seen
     * @param later where it is LATER: after how many milliseconds to come back; 0: not told
     */
    record Answer(Outcome outcome, ProviderReport report, long highestFence, double retryAfterMillis) {
        static final Answer NONE = new Answer(Outcome.NO_ANSWER, null, 0, 0);
    }

    private final Vertx vertx;
    private final HttpClient client;
    private final URI url;
    private final double timeoutMillis;

    ProviderClient(URI url, double timeoutMillis) {
        this.url = url;
        this.timeoutMillis = timeoutMillis;
        vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) timeoutMillis).setMaxRedirects(0),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /** What runs and ran for this member. */
    void list(String tenant, double nowMillis, Consumer<Answer> handler) {
        send(HttpMethod.GET, tenant, null, null, 0, nowMillis, handler);
    }

    /**
     * So many are to run, if the pool is still as it was told, nobody has come with a higher fence, and the
     * provider's clock is not past {@code notAfter}. Danger: a request that the network kept for minutes
     * would
     * spend by what was reckoned then.
     */
    void resize(
            String tenant,
            ScaleOutPolicy.Decision next,
            String etag,
            long fence,
            String kind,
            double nowMillis,
            Consumer<Answer> handler) {
        ResizeRequest intent = next.resize();
        JsonObject body = new JsonObject();
        body.addProperty("size", intent.size());
        body.addProperty("kind", kind);
        send(
                HttpMethod.PUT,
                tenant,
                new String[] {intent.idempotencyKey(), etag, Long.toString(next.notAfterMillis())},
                body.toString(),
                fence,
                nowMillis,
                handler);
    }

    private void send(
            HttpMethod method,
            String tenant,
            String[] condition,
            String body,
            long fence,
            double nowMillis,
            Consumer<Answer> handler) {
        String path = (url.getPath() == null ? "" : url.getPath()).replaceAll("/+$", "") + "/pools/" + tenant;
        Future<Answer> answer = client.request(new RequestOptions()
                        .setMethod(method)
                        .setHost(url.getHost())
                        .setPort(url.getPort() < 0 ? 80 : url.getPort())
                        .setURI(path))
                .compose(request -> {
                    if (condition != null) {
                        request.putHeader("Idempotency-Key", condition[0])
                                .putHeader("If-Match", condition[1])
                                .putHeader("X-Not-After", condition[2])
                                .putHeader("X-Fence", Long.toString(fence))
                                .putHeader("Content-Type", "application/json");
                    }
                    return request.send(body == null ? Buffer.buffer() : Buffer.buffer(body));
                })
                .compose(response -> response.body().map(text -> parse(response, text, nowMillis)));
        // Danger: the client's own time-outs begin with the request's sending, and end with the answer's
        // head.
        answer.timeout((long) timeoutMillis, TimeUnit.MILLISECONDS)
                .otherwise(Answer.NONE)
                .onSuccess(handler::accept);
    }

    private static Answer parse(HttpClientResponse response, Buffer body, double nowMillis) {
        switch (response.statusCode()) {
            case STATUS_OK -> {
                long date = ZonedDateTime.parse(response.getHeader("Date"), DateTimeFormatter.RFC_1123_DATE_TIME)
                        .toInstant()
                        .toEpochMilli();
                return new Answer(
                        Outcome.REPORTED,
                        ProviderReport.parse(body.toString(), response.getHeader("ETag"), date, nowMillis),
                        0,
                        0);
            }
            case STATUS_PRECONDITION_FAILED -> {
                return new Answer(Outcome.VERSION_CONFLICT, null, 0, 0);
            }
            case STATUS_CONFLICT -> {
                return new Answer(
                        Outcome.FENCED,
                        null,
                        JsonParser.parseString(body.toString())
                                .getAsJsonObject()
                                .get("fence")
                                .getAsLong(),
                        0);
            }
            case STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE -> {
                String after = response.getHeader("Retry-After");
                return new Answer(
                        Outcome.RETRY_LATER,
                        null,
                        0,
                        after == null ? 0 : MILLIS_PER_SECOND * Double.parseDouble(after));
            }
            default -> {
                return Answer.NONE;
            }
        }
    }

    @Override
    public void close() {
        vertx.close();
    }
}
