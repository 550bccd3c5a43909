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
import java.util.function.Consumer;
import nettlewick.core.Clock;
import nettlewick.log.ComponentLogger;

/** The standing watch on discovery: resumed where it broke, with growing pauses. Lives on the event loop. */
final class DiscoveryWatch {
    private static final ComponentLogger LOG = ComponentLogger.of("resolver");
    private static final int CONNECT_TIMEOUT = 1000;

    private final Vertx vertx;
    private final HttpClientAgent client;
    private final Clock clock;
    private final Consumer<EndpointListSnapshot> sink;
    private SocketAddress discovery;
    /** Version of the list as this address counts; below 0 before its first word. */
    private long seq = -1;

    private final WatchStalenessTimer times;
    private int round;
    private boolean stopped;
    private HttpClientConnection connection;

    DiscoveryWatch(
            Vertx vertx,
            SocketAddress discovery,
            Clock clock,
            WatchStalenessTimer times,
            Consumer<EndpointListSnapshot> sink) {
        this.times = times;
        this.vertx = vertx;
        client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT));
        this.discovery = discovery;
        this.clock = clock;
        this.sink = sink;
    }

    /** Applies the list that was known before, if there is one, then watches. */
    void start(EndpointListSnapshot known) {
        if (known != null) {
            seq = known.seq();
            sink.accept(known);
        }
        connect();
    }

    /** Looks when the call that is open would count as broken; words that come meanwhile move that on. */
    private void lookAt(int mine) {
        double left = times.deadline() - clock.now();
        vertx.setTimer((long) Math.max(1, Math.ceil(Math.min(left, WatchStalenessTimer.TOLD))), id -> {
            if (mine == round && clock.now() >= times.deadline()) {
                broken(mine, "silent");
            } else if (mine == round) {
                lookAt(mine);
            }
        });
    }

    private void connect() {
        if (stopped) {
            return;
        }
        int mine = ++round;
        times.opens(clock.now());
        lookAt(mine);
        client.connect(new HttpConnectOptions()
                        .setServer(discovery)
                        .setHost(discovery.hostAddress())
                        .setPort(discovery.port())
                        .setSsl(false))
                .onFailure(e -> broken(mine, "cannot connect"))
                .onSuccess(made -> {
                    if (mine != round) {
                        // The watch moved on while this connection came up.
                        made.close();
                        return;
                    }
                    connection = made;
                    made.exceptionHandler(e -> {});
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
                    if (response.statusCode() != OutboundRequest.OK) {
                        broken(mine, "status " + response.statusCode());
                        return;
                    }
                    JsonObjectFramer frames = new JsonObjectFramer();
                    response.exceptionHandler(e -> broken(mine, "broken off"));
                    response.endHandler(v -> broken(mine, "ended"));
                    response.handler(bytes -> hear(bytes, frames, mine));
                });
    }

    private void hear(Buffer bytes, JsonObjectFramer frames, int mine) {
        if (mine != round) {
            return;
        }
        try {
            times.part(clock.now());
            if (frames.take(bytes.getBytes(), text -> take(text, mine))) {
                times.word(clock.now());
            }
        } catch (JsonFields.InvalidFieldException e) {
            broken(mine, "unreadable: " + e.getMessage());
        }
    }

    private void take(String text, int mine) {
        if (mine != round) {
            return;
        }
        EndpointListSnapshot news = EndpointListSnapshot.of(JsonFields.parse("the list", text));
        times.list();
        if (!news.faults().isEmpty()) {
            LOG.warning(
                    "entries-left-out",
                    news.faults().size() + " entries left out: "
                            + news.faults().get(0).getMessage());
        }
        if (news.whole() || news.seq() > seq) {
            seq = news.seq();
            sink.accept(news);
        } else if (news.seq() < seq) {
            // Discovery has started anew and counts from the beginning: its changes mean nothing without its
            // list.
            seq = -1;
            broken(mine, "versions start anew");
        }
    }

    /**
     * Discovery is at another address now. What is held stands until the whole list has come from there.
     * Danger: the new one counts on its own; asked for what came after the old one's number, it may tell
     * nothing for long.
     */
    void move(SocketAddress to) {
        if (stopped || to.equals(discovery)) {
            return;
        }
        discovery = to;
        seq = -1;
        times.moved();
        round++;
        if (connection != null) {
            connection.close();
            connection = null;
        }
        connect();
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
        if (connection != null) {
            connection.close();
            connection = null;
        }
        long wait = (long) Math.ceil(times.broken(clock.now()));
        LOG.info("watch-broken", "watch broken: " + why + "; again in " + wait + " ms", "why", why, "pause_ms", wait);
        int last = round;
        vertx.setTimer(wait, id -> {
            if (last == round) {
                connect();
            }
        });
    }
}
