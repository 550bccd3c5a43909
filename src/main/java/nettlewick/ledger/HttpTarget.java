package nettlewick.ledger;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Sends batches to a receiver by POST with {@code X-Batch-Dispatcher}, {@code X-Batch-Export}, {@code X-Batch-Number}
 * and {@code X-Batch-Sum} (SHA-256 of the body). Any 2xx status means that the receiver has the batch, now or from an
 * earlier attempt; 4xx except 408 and 429 is a permanent rejection; anything else is retried.
 */
final class HttpTarget implements ExportTarget {
    private static final int MAX_RESPONSE_TEXT = 300;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;

    private final URI url;
    private final double timeoutMillis;
    private final FaultInjection faults;
    private final HttpClient client;

    HttpTarget(URI url, double timeoutMillis, FaultInjection faults) {
        this.url = url;
        this.timeoutMillis = timeoutMillis;
        this.faults = faults;
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis((long) timeoutMillis))
                .build();
    }

    /**
     * Sends the request with a time limit on the whole response: the client's own timeout ends with the response
     * headers, and a slowly trickling body would block forever.
     */
    private int send(HttpRequest request, StringBuilder responseText) throws IOException, InterruptedException {
        CompletableFuture<HttpResponse<Void>> sent = client.sendAsync(
                request,
                HttpResponse.BodyHandlers.ofByteArrayConsumer(part -> part.ifPresent(bytes -> {
                    if (responseText.length() < MAX_RESPONSE_TEXT) {
                        responseText.append(
                                new String(bytes, 0, Math.min(bytes.length, MAX_RESPONSE_TEXT), StandardCharsets.UTF_8)
                                        .strip());
                    }
                })));
        try {
            return sent.get((long) timeoutMillis, TimeUnit.MILLISECONDS).statusCode();
        } catch (TimeoutException e) {
            sent.cancel(true);
            throw new IOException("the receiver did not answer within " + (long) timeoutMillis + " ms");
        } catch (ExecutionException e) {
            throw new IOException("the receiver cannot be reached: " + e.getCause(), e);
        }
    }

    @Override
    public void deliver(OutgoingBatch batch) throws IOException, InterruptedException {
        faults.at("http-send");
        HttpRequest request = HttpRequest.newBuilder(url)
                .timeout(Duration.ofMillis((long) timeoutMillis))
                .header("X-Batch-Dispatcher", batch.dispatcher())
                .header("X-Batch-Export", batch.export())
                .header("X-Batch-Number", Long.toString(batch.number()))
                .header("X-Batch-Sum", batch.sha256())
                .header("Content-Type", batch.csv() ? "text/csv; charset=utf-8" : "application/x-ndjson")
                .POST(HttpRequest.BodyPublishers.ofByteArray(batch.content()))
                .build();
        StringBuilder responseText = new StringBuilder();
        int status = send(request, responseText);
        faults.at("http-answer");
        if (status / 100 == 2) {
            return;
        }
        if (status / 100 == 4 && status != REQUEST_TIMEOUT && status != TOO_MANY_REQUESTS) {
            throw new BatchRejectedException(
                    "the receiver rejected batch " + batch.number() + ": " + status + " " + responseText);
        }
        throw new IOException("the receiver answered " + status + " " + responseText);
    }
}
