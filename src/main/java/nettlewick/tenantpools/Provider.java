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
import nettlewick.tenantpools.PoolState.Intent;

/** Asks the provider over HTTP (docs/pools.md); each question gets exactly one answer, on any thread. */
final class Provider implements AutoCloseable {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int STALE = 412;
    private static final int MANY = 429;
    private static final int BUSY = 503;
    private static final int AT_ONCE = 4;
    private static final double SECOND = 1000;

    /** What became of a question. */
    enum Way {
        TOLD,
        STALE,
        FENCED,
        LATER,
        LOST
    }

    /**
     * @param told  where it is TOLD
     * @param fence where it is FENCED: the highest that the provider has seen
     * @param later where it is LATER: after how many milliseconds to come back; 0: not told
     */
    record Answer(Way way, ProviderReport told, long fence, double later) {
        static final Answer NONE = new Answer(Way.LOST, null, 0, 0);
    }

    private final Vertx vertx;
    private final HttpClient client;
    private final URI url;
    private final double timeout;

    Provider(URI url, double timeout) {
        this.url = url;
        this.timeout = timeout;
        vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) timeout).setMaxRedirects(0),
                new PoolOptions().setHttp1MaxSize(AT_ONCE));
    }

    /** What runs and ran for this member. */
    void list(String tenant, double now, Consumer<Answer> then) {
        ask(HttpMethod.GET, tenant, null, null, 0, now, then);
    }

    /**
     * So many are to run, if the pool is still as it was told, nobody has come with a higher fence, and the
     * provider's clock is not past {@code notAfter}. Danger: a request that the network kept for minutes
     * would
     * spend by what was reckoned then.
     */
    void put(
            String tenant,
            ScaleOutPolicy.Next next,
            String etag,
            long fence,
            String kind,
            double now,
            Consumer<Answer> then) {
        Intent intent = next.put();
        JsonObject body = new JsonObject();
        body.addProperty("size", intent.size());
        body.addProperty("kind", kind);
        ask(
                HttpMethod.PUT,
                tenant,
                new String[] {intent.key(), etag, Long.toString(next.notAfter())},
                body.toString(),
                fence,
                now,
                then);
    }

    private void ask(
            HttpMethod method,
            String tenant,
            String[] condition,
            String body,
            long fence,
            double now,
            Consumer<Answer> then) {
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
                .compose(response -> response.body().map(text -> answer(response, text, now)));
        // Danger: the client's own time-outs begin with the request's sending, and end with the answer's
        // head.
        answer.timeout((long) timeout, TimeUnit.MILLISECONDS)
                .otherwise(Answer.NONE)
                .onSuccess(then::accept);
    }

    private static Answer answer(HttpClientResponse response, Buffer body, double now) {
        switch (response.statusCode()) {
            case OK -> {
                long date = ZonedDateTime.parse(response.getHeader("Date"), DateTimeFormatter.RFC_1123_DATE_TIME)
                        .toInstant()
                        .toEpochMilli();
                return new Answer(
                        Way.TOLD, ProviderReport.of(body.toString(), response.getHeader("ETag"), date, now), 0, 0);
            }
            case STALE -> {
                return new Answer(Way.STALE, null, 0, 0);
            }
            case CONFLICT -> {
                return new Answer(
                        Way.FENCED,
                        null,
                        JsonParser.parseString(body.toString())
                                .getAsJsonObject()
                                .get("fence")
                                .getAsLong(),
                        0);
            }
            case MANY, BUSY -> {
                String after = response.getHeader("Retry-After");
                return new Answer(Way.LATER, null, 0, after == null ? 0 : SECOND * Double.parseDouble(after));
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
