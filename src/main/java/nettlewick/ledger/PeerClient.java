package nettlewick.ledger;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import nettlewick.core.Clock;
import nettlewick.ledger.Store.Head;

/**
 * Queries the {@link PeerServer} of one peer; rejects responses without a valid signature. Blocks; an instance belongs
 * to one thread.
 */
class PeerClient implements AutoCloseable {
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final int NONCE_BYTES = 16;
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;

    private final InetSocketAddress peer;
    private final MessageAuthenticator authenticator;
    private final Clock clock;
    private final double timeoutMillis;
    private final Vertx vertx;
    private final HttpClient client;
    private final SecureRandom random = new SecureRandom();
    private long bytesTransferred;

    PeerClient(
            Vertx vertx,
            InetSocketAddress peer,
            MessageAuthenticator authenticator,
            Clock clock,
            double timeoutMillis) {
        this.vertx = vertx;
        this.peer = peer;
        this.authenticator = authenticator;
        this.clock = clock;
        this.timeoutMillis = timeoutMillis;
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) timeoutMillis).setMaxRedirects(0));
    }

    /** Bytes sent and received: bodies, request URIs and an estimate of the headers. */
    long bytesTransferred() {
        return bytesTransferred;
    }

    /** Returns the heads of the peer's chains; null if they equal ours. */
    Map<ChainOrigin, Head> heads(Map<ChainOrigin, Head> ours) throws IOException, InterruptedException {
        Buffer body = get(PeerServer.HEADS_PATH + "?digest=" + PeerServer.digest(ours));
        if (body.length() == 0) {
            return null;
        }
        Map<ChainOrigin, Head> heads = new TreeMap<>();
        try {
            for (JsonElement one : JsonParser.parseString(PeerServer.utf8(body)).getAsJsonArray()) {
                JsonObject o = one.getAsJsonObject();
                byte[] hash = HexFormat.of().parseHex(o.get("h").getAsString());
                if (hash.length != Entry.INITIAL_HASH.length || o.get("n").getAsLong() < 0) {
                    throw new IllegalArgumentException("invalid hash or number");
                }
                heads.put(
                        new ChainOrigin(o.get("d").getAsString(), o.get("l").getAsLong()),
                        new Head(o.get("n").getAsLong(), hash));
            }
        } catch (JsonParseException | IllegalStateException | IllegalArgumentException | NullPointerException e) {
            throw new IOException("malformed heads response: " + e.getMessage(), e);
        }
        return heads;
    }

    /** Returns the hash of an entry; null if the peer does not have it. */
    byte[] hash(ChainOrigin origin, long number) throws IOException, InterruptedException {
        String text = PeerServer.utf8(get(PeerServer.HASH_PATH + "?" + originQuery(origin) + "&n=" + number));
        if (text.equals("none")) {
            return null;
        }
        try {
            return HexFormat.of().parseHex(text);
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed hash response", e);
        }
    }

    /** Returns at least one entry from one number on, at most up to another. */
    List<byte[]> entries(ChainOrigin origin, long from, long to) throws IOException, InterruptedException {
        Buffer body = get(PeerServer.ENTRIES_PATH + "?" + originQuery(origin) + "&from=" + from + "&to=" + to);
        List<byte[]> entries = new ArrayList<>();
        int at = 0;
        while (at < body.length()) {
            int length = body.length() - at < 4 ? -1 : body.getInt(at);
            if (length <= 0 || length > body.length() - at - 4) {
                throw new IOException("truncated entries response");
            }
            entries.add(body.getBytes(at + 4, at + 4 + length));
            at += 4 + length;
        }
        if (entries.isEmpty() || entries.size() > to - from + 1) {
            throw new IOException(
                    "the peer sent " + entries.size() + " entries, requested were 1 to " + (to - from + 1));
        }
        return entries;
    }

    private static String originQuery(ChainOrigin origin) {
        return "d=" + URLEncoder.encode(origin.dispatcher(), StandardCharsets.UTF_8) + "&l=" + origin.incarnation();
    }

    /** Sends one signed GET request and verifies the response. */
    Buffer get(String uri) throws IOException, InterruptedException {
        byte[] nonceBytes = new byte[NONCE_BYTES];
        random.nextBytes(nonceBytes);
        String nonce = HexFormat.of().formatHex(nonceBytes);
        double now = clock.nowMillis();
        Promise<Buffer> done = Promise.promise();
        long timer = vertx.setTimer(
                (long) timeoutMillis, id -> done.tryFail(new IOException("no response within the timeout")));
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setURI(uri)
                .setHost(peer.getAddress().getHostAddress())
                .setPort(peer.getPort())
                .putHeader(PeerServer.NONCE_HEADER, nonce)
                .putHeader(PeerServer.TIME_HEADER, Long.toString((long) now))
                .putHeader(PeerServer.SIGNATURE_HEADER, authenticator.signRequest(uri, nonce, now));
        bytesTransferred += uri.length() + 200;
        client.request(options)
                .compose(request -> {
                    done.future().onFailure(e -> request.reset());
                    // The handlers are attached here, on the event loop of the response: the calling thread could be
                    // scheduled only after the response has ended.
                    return request.send().compose(response -> readBody(response, done));
                })
                .onFailure(done::tryFail);
        try {
            Buffer answer = done.future()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get((long) (2 * timeoutMillis) + 1000, TimeUnit.MILLISECONDS);
            int status = answer.getInt(0);
            Buffer body = answer.getBuffer(4 + 64, answer.length());
            bytesTransferred += body.length() + 150;
            if (!authenticator.isValidResponse(nonce, status, body.getBytes(), answer.getString(4, 4 + 64))) {
                throw new IOException("the response has no valid signature (status " + status + ")");
            }
            if (status != OK && status != NO_CONTENT) {
                throw new IOException("the peer answered " + status + " "
                        + PeerServer.utf8(body).strip());
            }
            return body;
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause()), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("no response within the timeout", e);
        } finally {
            vertx.cancelTimer(timer);
        }
    }

    /**
     * Collects status, signature and body in one buffer. The size is limited so that a peer that sends endlessly cannot
     * exhaust the memory.
     */
    private static Future<Void> readBody(HttpClientResponse response, Promise<Buffer> done) {
        String signature = response.getHeader(PeerServer.SIGNATURE_HEADER);
        Buffer all = Buffer.buffer()
                .appendInt(response.statusCode())
                .appendString(signature != null && signature.length() == 64 ? signature : "0".repeat(64));
        response.exceptionHandler(done::tryFail);
        response.handler(part -> {
            all.appendBuffer(part);
            if (all.length() > MAX_RESPONSE_BYTES) {
                done.tryFail(new IOException("the response is too large"));
            }
        });
        response.endHandler(v -> done.tryComplete(all));
        return done.future().mapEmpty();
    }

    @Override
    public void close() {
        client.close();
    }
}
