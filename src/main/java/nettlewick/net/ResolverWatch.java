package nettlewick.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.logging.Logger;
import nettlewick.core.Clock;

/** The standing watch on discovery: resumed where it broke, with growing pauses. Lives on the event loop. */
final class ResolverWatch {
    private static final Logger LOG = Logger.getLogger("resolver");
    /** Discovery writes an empty line every 2 s; a watch silent for longer than two of them is broken. */
    private static final double SILENCE = 5000;
    private static final long CHECK = 500;
    private static final int CONNECT_TIMEOUT = 1000;
    private static final long PAUSE_LEAST = 100;
    private static final long PAUSE_MOST = 2000;
    private static final int LINE_MOST = 4 << 20;

    private final Vertx vertx;
    private final HttpClientAgent client;
    private final SocketAddress discovery;
    private final Clock clock;
    private final Consumer<ResolverResult> sink;
    private long seq = -1;
    private long pause = PAUSE_LEAST;
    private int round;
    private boolean stopped;
    private double heardAt;
    private HttpClientConnection connection;

    ResolverWatch(Vertx vertx, SocketAddress discovery, Clock clock,
            Consumer<ResolverResult> sink) {
        this.vertx = vertx;
        client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT));
        this.discovery = discovery;
        this.clock = clock;
        this.sink = sink;
    }

    /** Applies the list that was known before, if there is one, then watches. */
    void start(ResolverResult known) {
        if (known != null) {
            seq = known.seq();
            sink.accept(known);
        }
        vertx.setPeriodic(CHECK, id -> {
            if (connection != null && clock.now() - heardAt > SILENCE) {
                broken(round, "silent");
            }
        });
        connect();
    }

    private void connect() {
        if (stopped) {
            return;
        }
        int mine = ++round;
        heardAt = clock.now();
        client.connect(new HttpConnectOptions().setServer(discovery).setHost(discovery.hostAddress())
                .setPort(discovery.port()).setSsl(false))
                .onFailure(e -> broken(mine, "cannot connect"))
                .onSuccess(made -> {
                    connection = made;
                    made.exceptionHandler(e -> { });
                    made.closeHandler(v -> broken(mine, "closed"));
                    ask(made, mine);
                });
    }

    private void ask(HttpClient on, int mine) {
        String uri = "/catalog/members?watch=1" + (seq >= 0 ? "&after=" + seq : "");
        on.request(new RequestOptions().setMethod(HttpMethod.GET).setURI(uri))
                .compose(request -> request.send())
                .onFailure(e -> broken(mine, "no answer"))
                .onSuccess(response -> {
                    if (response.statusCode() != Call.OK) {
                        broken(mine, "status " + response.statusCode());
                        return;
                    }
                    RecordParser lines = RecordParser.newDelimited("\n").maxRecordSize(LINE_MOST);
                    lines.exceptionHandler(e -> broken(mine, "line too long"));
                    lines.handler(line -> take(line, mine));
                    response.exceptionHandler(e -> broken(mine, "broken off"));
                    response.endHandler(v -> broken(mine, "ended"));
                    response.handler(lines);
                });
    }

    private void take(Buffer line, int mine) {
        if (mine != round) {
            return;
        }
        heardAt = clock.now();
        String text = line.toString(StandardCharsets.UTF_8);
        if (text.isBlank()) {
            return;
        }
        try {
            ResolverResult news = ResolverResult.of(Fields.parse("the list", text));
            pause = PAUSE_LEAST;
            if (news.whole() || news.seq() > seq) {
                seq = news.seq();
                sink.accept(news);
            }
        } catch (Fields.Bad e) {
            broken(mine, "unreadable: " + e.getMessage());
        }
    }

    /** Ends the watch for good. Danger: a round begun on a client that is closed would throw. */
    void stop() {
        round++;
        stopped = true;
    }

    /** Ends this round of the watch, once, and begins another after a pause. */
    private void broken(int mine, String why) {
        if (mine != round) {
            return;
        }
        round++;
        LOG.info("watch broken: " + why + "; again in " + pause + " ms");
        if (connection != null) {
            connection.close();
            connection = null;
        }
        long wait = pause / 2 + ThreadLocalRandom.current().nextLong(pause / 2 + 1);
        pause = Math.min(PAUSE_MOST, 2 * pause);
        vertx.setTimer(Math.max(1, wait), id -> connect());
    }
}
