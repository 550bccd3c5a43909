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
 * Asks one peer's {@link PeerFront}, and believes no answer without its seal. Blocks; belongs to one thread.
 */
class PeerClient implements AutoCloseable {
    private static final int ANSWER_MOST = 16 << 20;
    private static final int NONCE_BYTES = 16;
    private static final int OK = 200;
    private static final int SAME = 204;

    private final InetSocketAddress peer;
    private final MessageSeal seal;
    private final Clock clock;
    private final double timeout;
    private final Vertx vertx;
    private final HttpClient client;
    private final SecureRandom random = new SecureRandom();
    private long bytes;

    PeerClient(Vertx vertx, InetSocketAddress peer, MessageSeal seal, Clock clock, double timeout) {
        this.vertx = vertx;
        this.peer = peer;
        this.seal = seal;
        this.clock = clock;
        this.timeout = timeout;
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) timeout).setMaxRedirects(0));
    }

    /** Bytes sent and received, bodies and the heads that are ours. */
    long bytes() {
        return bytes;
    }

    /** The peer's chains; null where they are the same as ours. */
    Map<ChainOrigin, Head> heads(Map<ChainOrigin, Head> ours) throws IOException, InterruptedException {
        Buffer body = get(PeerFront.HEADS + "?digest=" + PeerFront.digest(ours));
        if (body.length() == 0) {
            return null;
        }
        Map<ChainOrigin, Head> heads = new TreeMap<>();
        try {
            for (JsonElement one : JsonParser.parseString(PeerFront.utf8(body)).getAsJsonArray()) {
                JsonObject o = one.getAsJsonObject();
                byte[] hash = HexFormat.of().parseHex(o.get("h").getAsString());
                if (hash.length != Entry.NO_HASH.length || o.get("n").getAsLong() < 0) {
                    throw new IllegalArgumentException("a chain without a hash");
                }
                heads.put(
                        new ChainOrigin(o.get("d").getAsString(), o.get("l").getAsLong()),
                        new Head(o.get("n").getAsLong(), hash));
            }
        } catch (JsonParseException | IllegalStateException | IllegalArgumentException | NullPointerException e) {
            throw new IOException("its chains cannot be read: " + e.getMessage(), e);
        }
        return heads;
    }

    /** The hash at a place of a chain; null where the peer has none. */
    byte[] hash(ChainOrigin origin, long number) throws IOException, InterruptedException {
        String text = PeerFront.utf8(get(PeerFront.HASH + "?" + name(origin) + "&n=" + number));
        if (text.equals("none")) {
            return null;
        }
        try {
            return HexFormat.of().parseHex(text);
        } catch (IllegalArgumentException e) {
            throw new IOException("its hash cannot be read", e);
        }
    }

    /** Entries from one number on, at most up to another; at least one. */
    List<byte[]> entries(ChainOrigin origin, long from, long to) throws IOException, InterruptedException {
        Buffer body = get(PeerFront.ENTRIES + "?" + name(origin) + "&from=" + from + "&to=" + to);
        List<byte[]> entries = new ArrayList<>();
        int at = 0;
        while (at < body.length()) {
            int length = body.length() - at < 4 ? -1 : body.getInt(at);
            if (length <= 0 || length > body.length() - at - 4) {
                throw new IOException("its entries are cut off");
            }
            entries.add(body.getBytes(at + 4, at + 4 + length));
            at += 4 + length;
        }
        if (entries.isEmpty() || entries.size() > to - from + 1) {
            throw new IOException("it sent " + entries.size() + " entries of " + (to - from + 1));
        }
        return entries;
    }

    private static String name(ChainOrigin origin) {
        return "d=" + URLEncoder.encode(origin.dispatcher(), StandardCharsets.UTF_8) + "&l=" + origin.life();
    }

    /** One sealed call. */
    Buffer get(String uri) throws IOException, InterruptedException {
        byte[] drawn = new byte[NONCE_BYTES];
        random.nextBytes(drawn);
        String nonce = HexFormat.of().formatHex(drawn);
        double now = clock.nowMillis();
        Promise<Buffer> done = Promise.promise();
        long timer = vertx.setTimer((long) timeout, id -> done.tryFail(new IOException("no answer in time")));
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setURI(uri)
                .setHost(peer.getAddress().getHostAddress())
                .setPort(peer.getPort())
                .putHeader(PeerFront.NONCE, nonce)
                .putHeader(PeerFront.TIME, Long.toString((long) now))
                .putHeader(PeerFront.SEAL, seal.call(uri, nonce, now));
        bytes += uri.length() + 200;
        client.request(options)
                .compose(request -> {
                    done.future().onFailure(e -> request.reset());
                    // Composed here, on the response's event loop: this method's thread may come too late for its end.
                    return request.send().compose(response -> body(response, done));
                })
                .onFailure(done::tryFail);
        try {
            Buffer answer = done.future()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get((long) (2 * timeout) + 1000, TimeUnit.MILLISECONDS);
            int status = answer.getInt(0);
            Buffer body = answer.getBuffer(4 + 64, answer.length());
            bytes += body.length() + 150;
            if (!seal.fits(nonce, status, body.getBytes(), answer.getString(4, 4 + 64))) {
                throw new IOException("an answer without the right seal (status " + status + ")");
            }
            if (status != OK && status != SAME) {
                throw new IOException(
                        "it answered " + status + " " + PeerFront.utf8(body).strip());
            }
            return body;
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause()), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("no answer in time", e);
        } finally {
            vertx.cancelTimer(timer);
        }
    }

    /**
     * Status, seal and body in one buffer. Danger: a peer that sends without end must not fill the memory.
     */
    private static Future<Void> body(HttpClientResponse response, Promise<Buffer> done) {
        String seal = response.getHeader(PeerFront.SEAL);
        Buffer all = Buffer.buffer()
                .appendInt(response.statusCode())
                .appendString(seal != null && seal.length() == 64 ? seal : "0".repeat(64));
        response.exceptionHandler(done::tryFail);
        response.handler(part -> {
            all.appendBuffer(part);
            if (all.length() > ANSWER_MOST) {
                done.tryFail(new IOException("an answer without end"));
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
