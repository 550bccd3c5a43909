package nettlewick.tenantpools;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
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

/**
 * HTTP client for the provider that runs added endpoints (docs/pools.md). The handler of each request is called exactly
 * once, on any thread.
 */
final class ProviderClient implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_PRECONDITION_FAILED = 412;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int DEFAULT_PORT = 80;
    private static final int MAX_CONNECTIONS = 4;
    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * The preconditions under which the provider carries out a resize.
     *
     * @param etag           the version of the report on which the resize is based
     * @param fence          the fence of the lease holder
     * @param notAfterMillis the latest time for carrying it out, on the provider's clock in milliseconds of Unix time;
     *                       otherwise a request that the network delays for minutes would spend money based on an
     *                       outdated calculation
     */
    record ResizeCondition(String etag, long fence, long notAfterMillis) {}

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

    /** Fetches the current and recent instances of a tenant. */
    void fetchReport(String tenant, double nowMillis, Consumer<ProviderAnswer> handler) {
        send(HttpMethod.GET, tenant, request -> request.send(Buffer.buffer()), nowMillis, handler);
    }

    /** Requests that a number of instances of a kind run for a tenant. */
    void resize(
            String tenant,
            ResizeRequest resize,
            ResizeCondition condition,
            String kind,
            double nowMillis,
            Consumer<ProviderAnswer> handler) {
        JsonObject body = new JsonObject();
        body.addProperty("size", resize.size());
        body.addProperty("kind", kind);
        send(
                HttpMethod.PUT,
                tenant,
                request -> request.putHeader("Idempotency-Key", resize.idempotencyKey())
                        .putHeader("If-Match", condition.etag())
                        .putHeader("X-Not-After", Long.toString(condition.notAfterMillis()))
                        .putHeader("X-Fence", Long.toString(condition.fence()))
                        .putHeader("Content-Type", "application/json")
                        .send(Buffer.buffer(body.toString())),
                nowMillis,
                handler);
    }

    /** Sends the headers and the body of a request. */
    private interface RequestWriter {
        Future<HttpClientResponse> write(HttpClientRequest request);
    }

    private void send(
            HttpMethod method,
            String tenant,
            RequestWriter writer,
            double nowMillis,
            Consumer<ProviderAnswer> handler) {
        String basePath = url.getPath() == null ? "" : url.getPath();
        Future<ProviderAnswer> answer = client.request(new RequestOptions()
                        .setMethod(method)
                        .setHost(url.getHost())
                        .setPort(url.getPort() < 0 ? DEFAULT_PORT : url.getPort())
                        .setURI(basePath.replaceAll("/+$", "") + "/pools/" + tenant))
                // The body is requested in a callback on the response's event loop: on the caller's thread it could be
                // requested too late, after the end of the response.
                .compose(request -> writer.write(request)
                        .compose(response -> response.body().map(body -> parse(response, body, nowMillis))));
        // The HTTP client's own timeouts cover neither connecting nor reading the body.
        answer.timeout((long) timeoutMillis, TimeUnit.MILLISECONDS)
                .otherwise(new ProviderAnswer.NoAnswer())
                .onSuccess(handler::accept);
    }

    private static ProviderAnswer parse(HttpClientResponse response, Buffer body, double nowMillis) {
        return switch (response.statusCode()) {
            case STATUS_OK ->
                new ProviderAnswer.Reported(ProviderReport.parse(
                        body.toString(), response.getHeader("ETag"), dateMillis(response), nowMillis));
            case STATUS_PRECONDITION_FAILED -> new ProviderAnswer.VersionConflict();
            case STATUS_CONFLICT ->
                new ProviderAnswer.Fenced(JsonParser.parseString(body.toString())
                        .getAsJsonObject()
                        .get("fence")
                        .getAsLong());
            case STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE -> {
                String retryAfter = response.getHeader("Retry-After");
                yield new ProviderAnswer.RetryLater(
                        retryAfter == null ? 0 : MILLIS_PER_SECOND * Double.parseDouble(retryAfter));
            }
            default -> new ProviderAnswer.NoAnswer();
        };
    }

    private static long dateMillis(HttpClientResponse response) {
        return ZonedDateTime.parse(response.getHeader("Date"), DateTimeFormatter.RFC_1123_DATE_TIME)
                .toInstant()
                .toEpochMilli();
    }

    @Override
    public void close() {
        vertx.close();
    }
}
