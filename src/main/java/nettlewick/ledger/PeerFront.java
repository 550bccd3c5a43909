package nettlewick.ledger;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettlewick.core.Clock;
import nettlewick.log.ComponentLogger;
import nettlewick.sqlite.StoreException;

/**
 * Where other dispatchers read this one's entries. Admits callers by their network and by a seal; changes
 * nothing. Has an event loop of its own, and reads the store on a thread beside it.
 */
final class PeerFront implements AutoCloseable {
    static final String NONCE = "X-Ledger-Nonce";
    static final String TIME = "X-Ledger-Time";
    static final String SEAL = "X-Ledger-Seal";
    static final String HEADS = "/ledger/heads";
    static final String HASH = "/ledger/hash";
    static final String ENTRIES = "/ledger/entries";
    private static final ComponentLogger LOG = ComponentLogger.of("ledger");
    private static final int ENTRIES_MOST = 100_000;
    private static final int BYTES_MOST = 8 << 20;
    private static final int IDLE_SECONDS = 30;
    private static final int OK = 200;
    private static final int SAME = 204;

    private final PeerSettings settings;
    private final Path folder;
    private final MessageSeal seal;
    private final Clock clock;
    private final Vertx vertx;

    PeerFront(PeerSettings settings, Path folder, MessageSeal seal, Clock clock) {
        this.settings = settings;
        this.folder = folder;
        this.seal = seal;
        this.clock = clock;
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
    }

    /** Listens; the port that is held comes back. */
    Future<Integer> listen() {
        HttpServer server = vertx.createHttpServer(new HttpServerOptions()
                .setTcpNoDelay(true)
                .setHttp2ClearTextEnabled(false)
                .setIdleTimeout(IDLE_SECONDS));
        server.exceptionHandler(e -> {});
        server.requestHandler(this::handle);
        return server.listen(SocketAddress.inetSocketAddress(
                        settings.listen().getPort(),
                        settings.listen().getAddress().getHostAddress()))
                .map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        request.exceptionHandler(e -> {});
        String from =
                request.remoteAddress() == null ? null : request.remoteAddress().hostAddress();
        if (!admitted(from)) {
            LOG.warning("peer-refused", "a caller from " + from + " is not admitted", "from", from);
            request.response().setStatusCode(403).end("not admitted\n");
            return;
        }
        String fault = HttpMethod.GET.equals(request.method())
                ? seal.fault(
                        request.uri(),
                        request.getHeader(NONCE),
                        request.getHeader(TIME),
                        request.getHeader(SEAL),
                        clock.nowMillis())
                : "not a GET";
        if (fault != null) {
            LOG.warning("peer-refused", "a call from " + from + " is refused: " + fault, "from", from);
            request.response().setStatusCode(401).end(fault + "\n");
            return;
        }
        String nonce = request.getHeader(NONCE);
        String path = request.path();
        Map<String, String> asked = new java.util.HashMap<>();
        request.params().forEach(asked::put);
        vertx.executeBlocking(() -> read(path, asked)).onComplete(read -> {
            if (read.failed()) {
                boolean asking = read.cause() instanceof IllegalArgumentException;
                answer(
                        request,
                        nonce,
                        asking ? 400 : 503,
                        Buffer.buffer(read.cause().getMessage() + "\n"));
            } else {
                answer(request, nonce, read.result().length() == 0 ? SAME : OK, read.result());
            }
        });
    }

    private boolean admitted(String from) {
        IPAddress address = from == null ? null : new IPAddressString(from.replaceAll("%.*", "")).getAddress();
        return address != null && settings.admit().stream().anyMatch(network -> network.contains(address));
    }

    private void answer(HttpServerRequest request, String nonce, int status, Buffer body) {
        if (!request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader(SEAL, seal.answer(nonce, status, body.getBytes()))
                    .end(body);
        }
    }

    /** Opens the store for each call: a damaged one may have been put aside since the last. */
    private Buffer read(String path, Map<String, String> asked) throws StoreException {
        try (Store store = Store.read(folder)) {
            return switch (path) {
                case HEADS -> {
                    Map<ChainOrigin, Store.Head> heads = store.heads();
                    yield digest(heads).equals(asked.get("digest")) ? Buffer.buffer() : heads(heads);
                }
                case HASH -> {
                    List<Store.Row> rows = store.rows(origin(asked), number(asked, "n"), number(asked, "n"));
                    yield Buffer.buffer(
                            rows.isEmpty()
                                    ? "none"
                                    : HexFormat.of().formatHex(rows.get(0).hash()));
                }
                case ENTRIES -> {
                    long first = number(asked, "from");
                    long last = Math.min(number(asked, "to"), first + ENTRIES_MOST - 1);
                    yield entries(store.rows(origin(asked), first, last));
                }
                default -> throw new IllegalArgumentException("no such call");
            };
        }
    }

    /** One digest for all chains: equal ones hold the same entries. */
    static String digest(Map<ChainOrigin, Store.Head> heads) {
        return BatchCodec.sum(heads(heads).getBytes());
    }

    private static Buffer heads(Map<ChainOrigin, Store.Head> heads) {
        JsonArray all = new JsonArray();
        heads.forEach((origin, head) -> {
            JsonObject one = new JsonObject();
            one.addProperty("d", origin.dispatcher());
            one.addProperty("l", origin.life());
            one.addProperty("n", head.number());
            one.addProperty("h", HexFormat.of().formatHex(head.hash()));
            all.add(one);
        });
        return Buffer.buffer(all.toString());
    }

    /** Entries one after another, each with its length before it; as many as fit an answer. */
    private static Buffer entries(List<Store.Row> rows) {
        Buffer all = Buffer.buffer();
        for (Store.Row row : rows) {
            if (row.bytes() == null) {
                if (all.length() == 0) {
                    throw new IllegalArgumentException("entry " + row.number() + " is archived here; restore it first");
                }
                break;
            }
            if (all.length() > 0 && all.length() + row.bytes().length > BYTES_MOST) {
                break;
            }
            all.appendInt(row.bytes().length).appendBytes(row.bytes());
        }
        return all;
    }

    private static ChainOrigin origin(Map<String, String> asked) {
        if (!asked.containsKey("d")) {
            throw new IllegalArgumentException("d is missing");
        }
        return new ChainOrigin(asked.get("d"), number(asked, "l"));
    }

    private static long number(Map<String, String> asked, String name) {
        String text = asked.get(name);
        if (text == null || !text.matches("\\d{1,18}")) {
            throw new IllegalArgumentException(name + " is not a number");
        }
        return Long.parseLong(text);
    }

    @Override
    public void close() {
        try {
            vertx.close().toCompletionStage().toCompletableFuture().get(IDLE_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            LOG.warning("peer-front", "the peers' listener did not close: " + e);
        }
    }

    static String utf8(Buffer body) {
        return body.toString(StandardCharsets.UTF_8);
    }
}
