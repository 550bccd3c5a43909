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
 * Serves this dispatcher's entries to other dispatchers, read-only. Admits callers by network and by signature. Runs
 * its own event loop and reads the store on a worker thread.
 */
final class PeerServer implements AutoCloseable {
    static final String NONCE_HEADER = "X-Ledger-Nonce";
    static final String TIME_HEADER = "X-Ledger-Time";
    static final String SIGNATURE_HEADER = "X-Ledger-Seal";
    static final String HEADS_PATH = "/ledger/heads";
    static final String HASH_PATH = "/ledger/hash";
    static final String ENTRIES_PATH = "/ledger/entries";
    private static final ComponentLogger LOG = ComponentLogger.of("ledger");
    private static final int MAX_ENTRIES = 100_000;
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;

    private final PeerSettings settings;
    private final Path folder;
    private final MessageAuthenticator authenticator;
    private final Clock clock;
    private final Vertx vertx;

    PeerServer(PeerSettings settings, Path folder, MessageAuthenticator authenticator, Clock clock) {
        this.settings = settings;
        this.folder = folder;
        this.authenticator = authenticator;
        this.clock = clock;
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
    }

    /** Starts listening; completes with the actual port. */
    Future<Integer> listen() {
        HttpServer server = vertx.createHttpServer(new HttpServerOptions()
                .setTcpNoDelay(true)
                .setHttp2ClearTextEnabled(false)
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS));
        server.exceptionHandler(e -> {});
        server.requestHandler(this::handle);
        return server.listen(SocketAddress.inetSocketAddress(
                        settings.listen().getPort(),
                        settings.listen().getAddress().getHostAddress()))
                .map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        request.exceptionHandler(e -> {});
        String remoteAddress =
                request.remoteAddress() == null ? null : request.remoteAddress().hostAddress();
        if (!isAdmitted(remoteAddress)) {
            LOG.warning(
                    "peer-refused",
                    "rejected a request from " + remoteAddress + ": the address is not admitted",
                    "from",
                    remoteAddress);
            request.response().setStatusCode(403).end("not admitted\n");
            return;
        }
        String error = HttpMethod.GET.equals(request.method())
                ? authenticator.requestError(
                        request.uri(),
                        request.getHeader(NONCE_HEADER),
                        request.getHeader(TIME_HEADER),
                        request.getHeader(SIGNATURE_HEADER),
                        clock.nowMillis())
                : "not a GET";
        if (error != null) {
            LOG.warning(
                    "peer-refused", "rejected a request from " + remoteAddress + ": " + error, "from", remoteAddress);
            request.response().setStatusCode(401).end(error + "\n");
            return;
        }
        String nonce = request.getHeader(NONCE_HEADER);
        String path = request.path();
        Map<String, String> params = new java.util.HashMap<>();
        request.params().forEach(params::put);
        vertx.executeBlocking(() -> read(path, params)).onComplete(read -> {
            if (read.failed()) {
                boolean badRequest = read.cause() instanceof IllegalArgumentException;
                respond(
                        request,
                        nonce,
                        badRequest ? 400 : 503,
                        Buffer.buffer(read.cause().getMessage() + "\n"));
            } else {
                respond(request, nonce, read.result().length() == 0 ? NO_CONTENT : OK, read.result());
            }
        });
    }

    private boolean isAdmitted(String remoteAddress) {
        IPAddress address =
                remoteAddress == null ? null : new IPAddressString(remoteAddress.replaceAll("%.*", "")).getAddress();
        return address != null && settings.admittedNetworks().stream().anyMatch(network -> network.contains(address));
    }

    private void respond(HttpServerRequest request, String nonce, int status, Buffer body) {
        if (!request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader(SIGNATURE_HEADER, authenticator.signResponse(nonce, status, body.getBytes()))
                    .end(body);
        }
    }

    /** Opens the store for each request, since a damaged store may have been replaced since the last one. */
    private Buffer read(String path, Map<String, String> params) throws StoreException {
        try (Store store = Store.read(folder)) {
            return switch (path) {
                case HEADS_PATH -> {
                    Map<ChainOrigin, Store.Head> heads = store.heads();
                    yield digest(heads).equals(params.get("digest")) ? Buffer.buffer() : encodeHeads(heads);
                }
                case HASH_PATH -> {
                    List<Store.Row> rows =
                            store.rows(parseOrigin(params), parseNumber(params, "n"), parseNumber(params, "n"));
                    yield Buffer.buffer(
                            rows.isEmpty()
                                    ? "none"
                                    : HexFormat.of().formatHex(rows.get(0).hash()));
                }
                case ENTRIES_PATH -> {
                    long first = parseNumber(params, "from");
                    long last = Math.min(parseNumber(params, "to"), first + MAX_ENTRIES - 1);
                    yield encodeEntries(store.rows(parseOrigin(params), first, last));
                }
                default -> throw new IllegalArgumentException("no such call");
            };
        }
    }

    /** Returns a digest of the heads of all chains; two ledgers with equal digests hold the same entries. */
    static String digest(Map<ChainOrigin, Store.Head> heads) {
        return BatchCodec.sha256(encodeHeads(heads).getBytes());
    }

    private static Buffer encodeHeads(Map<ChainOrigin, Store.Head> heads) {
        JsonArray all = new JsonArray();
        heads.forEach((origin, head) -> {
            JsonObject one = new JsonObject();
            one.addProperty("d", origin.dispatcher());
            one.addProperty("l", origin.incarnation());
            one.addProperty("n", head.number());
            one.addProperty("h", HexFormat.of().formatHex(head.hash()));
            all.add(one);
        });
        return Buffer.buffer(all.toString());
    }

    /** Encodes entries, each preceded by its length; as many as fit into a response. */
    private static Buffer encodeEntries(List<Store.Row> rows) {
        Buffer all = Buffer.buffer();
        for (Store.Row row : rows) {
            if (row.bytes() == null) {
                if (all.length() == 0) {
                    throw new IllegalArgumentException("entry " + row.number() + " is archived here; restore it first");
                }
                break;
            }
            if (all.length() > 0 && all.length() + row.bytes().length > MAX_BODY_BYTES) {
                break;
            }
            all.appendInt(row.bytes().length).appendBytes(row.bytes());
        }
        return all;
    }

    private static ChainOrigin parseOrigin(Map<String, String> params) {
        if (!params.containsKey("d")) {
            throw new IllegalArgumentException("d is missing");
        }
        return new ChainOrigin(params.get("d"), parseNumber(params, "l"));
    }

    private static long parseNumber(Map<String, String> params, String name) {
        String text = params.get(name);
        if (text == null || !text.matches("\\d{1,18}")) {
            throw new IllegalArgumentException(name + " is not a number");
        }
        return Long.parseLong(text);
    }

    @Override
    public void close() {
        try {
            vertx.close().toCompletionStage().toCompletableFuture().get(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            LOG.warning("peer-front", "the listener for peers did not close: " + e);
        }
    }

    static String utf8(Buffer body) {
        return body.toString(StandardCharsets.UTF_8);
    }
}
