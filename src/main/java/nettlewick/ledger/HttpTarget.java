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
 * Batches to a receiver: POST with {@code X-Batch-Dispatcher}, {@code X-Batch-Export}, {@code X-Batch-Number}
 * and
 * {@code X-Batch-Sum} (SHA-256 of the body). Any 2xx says that the receiver has it, now or before; 4xx, but
 * for
 * 408 and 429, is a no for good; all else is tried again.
 */
final class HttpTarget implements Target {
    private static final int SAID_MOST = 300;
    private static final int TIMEOUT = 408;
    private static final int TOO_MANY = 429;

    private final URI url;
    private final double timeout;
    private final FaultInjection faults;
    private final HttpClient client;

    HttpTarget(URI url, double timeout, FaultInjection faults) {
        this.url = url;
        this.timeout = timeout;
        this.faults = faults;
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis((long) timeout))
                .build();
    }

    /**
     * Danger: the client's own time-out ends with the answer's head; a body that trickles would hang for
     * good.
     */
    private int send(HttpRequest request, StringBuilder said) throws IOException, InterruptedException {
        CompletableFuture<HttpResponse<Void>> sent = client.sendAsync(
                request,
                HttpResponse.BodyHandlers.ofByteArrayConsumer(part -> part.ifPresent(bytes -> {
                    if (said.length() < SAID_MOST) {
                        said.append(new String(bytes, 0, Math.min(bytes.length, SAID_MOST), StandardCharsets.UTF_8)
                                .strip());
                    }
                })));
        try {
            return sent.get((long) timeout, TimeUnit.MILLISECONDS).statusCode();
        } catch (TimeoutException e) {
            sent.cancel(true);
            throw new IOException("the receiver did not answer within " + (long) timeout + " ms");
        } catch (ExecutionException e) {
            throw new IOException("the receiver cannot be reached: " + e.getCause(), e);
        }
    }

    @Override
    public void deliver(Parcel p) throws IOException, InterruptedException {
        faults.at("http-send");
        HttpRequest request = HttpRequest.newBuilder(url)
                .timeout(Duration.ofMillis((long) timeout))
                .header("X-Batch-Dispatcher", p.dispatcher())
                .header("X-Batch-Export", p.export())
                .header("X-Batch-Number", Long.toString(p.number()))
                .header("X-Batch-Sum", p.sum())
                .header("Content-Type", p.csv() ? "text/csv; charset=utf-8" : "application/x-ndjson")
                .POST(HttpRequest.BodyPublishers.ofByteArray(p.bytes()))
                .build();
        StringBuilder said = new StringBuilder();
        int status = send(request, said);
        faults.at("http-answer");
        if (status / 100 == 2) {
            return;
        }
        if (status / 100 == 4 && status != TIMEOUT && status != TOO_MANY) {
            throw new Rejected("the receiver will not take batch " + p.number() + ": " + status + " " + said);
        }
        throw new IOException("the receiver answered " + status + " " + said);
    }
}
