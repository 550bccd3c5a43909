package nettlewick.net.discovery;

import io.netty.handler.codec.http.HttpResponseStatus;
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
import nettlewick.net.format.JsonFields;

/**
 * Watches the discovery service for endpoint updates and resumes the watch with exponential backoff when it
 * breaks. Runs on the event loop.
 */
public final class DiscoveryWatch {
    private static final ComponentLogger LOG = ComponentLogger.of("resolver");
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private final Vertx vertx;
    private final HttpClientAgent client;
    private final Clock clock;
    private final Consumer<EndpointListSnapshot> listener;
    private SocketAddress discovery;
    /** Sequence number of the last update from this address; negative before the first one. */
    private long sequence = -1;

    private final WatchStalenessTimer stalenessTimer;
    private int currentCall;
    private boolean stopped;
    private HttpClientConnection connection;

    /** Creates a watch that passes updates to a listener; it does not connect yet. */
    public DiscoveryWatch(
            Vertx vertx,
            SocketAddress discovery,
            Clock clock,
            WatchStalenessTimer stalenessTimer,
            Consumer<EndpointListSnapshot> listener) {
        this.stalenessTimer = stalenessTimer;
        this.vertx = vertx;
        client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
        this.discovery = discovery;
        this.clock = clock;
        this.listener = listener;
    }

    /** Applies the list that was known before, if there is one, then starts the watch. */
    public void start(EndpointListSnapshot known) {
        if (known != null) {
            sequence = known.sequence();
            listener.accept(known);
        }
        connect();
    }

    /** Checks at its deadline whether the current call is stale; messages that arrive earlier postpone the deadline. */
    private void scheduleDeadlineCheck(int call) {
        double remainingMillis = stalenessTimer.deadline() - clock.nowMillis();
        vertx.setTimer(
                (long) Math.max(1, Math.ceil(Math.min(remainingMillis, WatchStalenessTimer.NOTIFIED_AFTER_MILLIS))),
                id -> {
                    if (call == currentCall && clock.nowMillis() >= stalenessTimer.deadline()) {
                        endCall(call, "silent");
                    } else if (call == currentCall) {
                        scheduleDeadlineCheck(call);
                    }
                });
    }

    private void connect() {
        if (stopped) {
            return;
        }
        int call = ++currentCall;
        stalenessTimer.callStarted(clock.nowMillis());
        scheduleDeadlineCheck(call);
        client.connect(new HttpConnectOptions()
                        .setServer(discovery)
                        .setHost(discovery.hostAddress())
                        .setPort(discovery.port())
                        .setSsl(false))
                .onFailure(e -> endCall(call, "cannot connect"))
                .onSuccess(opened -> {
                    if (call != currentCall) {
                        // This call was replaced while its connection was being established.
                        opened.close();
                        return;
                    }
                    connection = opened;
                    opened.exceptionHandler(e -> {});
                    opened.closeHandler(v -> endCall(call, "closed"));
                    requestList(opened, call);
                });
    }

    private void requestList(HttpClient http, int call) {
        String uri = "/catalog/members?watch=1" + (sequence >= 0 ? "&after=" + sequence : "");
        http.request(new RequestOptions().setMethod(HttpMethod.GET).setURI(uri))
                .compose(request -> request.send())
                .onFailure(e -> endCall(call, "no answer"))
                .onSuccess(response -> {
                    if (response.statusCode() != HttpResponseStatus.OK.code()) {
                        endCall(call, "status " + response.statusCode());
                        return;
                    }
                    JsonObjectFramer framer = new JsonObjectFramer();
                    response.exceptionHandler(e -> endCall(call, "broken off"));
                    response.endHandler(v -> endCall(call, "ended"));
                    response.handler(bytes -> readBytes(bytes, framer, call));
                });
    }

    private void readBytes(Buffer bytes, JsonObjectFramer framer, int call) {
        if (call != currentCall) {
            return;
        }
        try {
            stalenessTimer.bytesReceived(clock.nowMillis());
            if (framer.feed(bytes.getBytes(), text -> applyList(text, call))) {
                stalenessTimer.messageReceived(clock.nowMillis());
            }
        } catch (JsonFields.InvalidFieldException e) {
            endCall(call, "unreadable: " + e.getMessage());
        }
    }

    private void applyList(String text, int call) {
        if (call != currentCall) {
            return;
        }
        EndpointListSnapshot snapshot = EndpointListSnapshot.parse(JsonFields.parse("the list", text));
        stalenessTimer.listReceived();
        if (!snapshot.faults().isEmpty()) {
            LOG.warning(
                    "entries-left-out",
                    snapshot.faults().size() + " invalid entries skipped in the endpoint list; the first: "
                            + snapshot.faults().get(0).getMessage());
        }
        if (snapshot.complete() || snapshot.sequence() > sequence) {
            sequence = snapshot.sequence();
            listener.accept(snapshot);
        } else if (snapshot.sequence() < sequence) {
            // Discovery has restarted its sequence numbers: its changes cannot be applied without a complete list.
            sequence = -1;
            endCall(call, "versions start anew");
        }
    }

    /**
     * Moves the watch to another address. The current list stays in force until a complete one arrives. The new service
     * has its own sequence numbers: if asked for changes after the old number, it might send nothing for a long time.
     */
    public void moveTo(SocketAddress newAddress) {
        if (stopped || newAddress.equals(discovery)) {
            return;
        }
        discovery = newAddress;
        sequence = -1;
        stalenessTimer.addressChanged();
        currentCall++;
        if (connection != null) {
            connection.close();
            connection = null;
        }
        connect();
    }

    /** Stops the watch permanently; a call started on a closed client would throw. */
    public void stop() {
        currentCall++;
        stopped = true;
    }

    /** Ends the current call, once, and starts the next one after a pause. */
    private void endCall(int call, String reason) {
        if (call != currentCall) {
            return;
        }
        currentCall++;
        if (connection != null) {
            connection.close();
            connection = null;
        }
        long pauseMillis = (long) Math.ceil(stalenessTimer.callEnded(clock.nowMillis()));
        LOG.info(
                "watch-broken",
                "watch on discovery ended: " + reason + "; reconnecting in " + pauseMillis + " ms",
                "why",
                reason,
                "pause_ms",
                pauseMillis);
        int endedCall = currentCall;
        vertx.setTimer(pauseMillis, id -> {
            if (endedCall == currentCall) {
                connect();
            }
        });
    }
}
