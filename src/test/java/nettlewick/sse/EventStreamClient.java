package nettlewick.sse;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Pattern;

/** A client of one stream as in the WHATWG specification: keeps the id of the last event and can reconnect. */
final class EventStreamClient {
    private static final Pattern FINAL_EVENT_NAME = Pattern.compile("result|unavailable|failed");

    /** One event as received. */
    record ReceivedEvent(long id, String name, String data) {}

    final List<ReceivedEvent> events = new CopyOnWriteArrayList<>();
    final CompletableFuture<Void> ended = new CompletableFuture<>();
    volatile int status;
    volatile String rawText = "";
    private final Vertx vertx;
    private volatile int port;
    private final String id;
    private final String requestClass;
    private volatile HttpConnection connection;
    /** As the client sends it when it reconnects; null while it has received no id. */
    private volatile Long lastEventId;

    private volatile int connectionNumber;

    EventStreamClient(Vertx vertx, int port, String id, String requestClass) {
        this.vertx = vertx;
        this.port = port;
        this.id = id;
        this.requestClass = requestClass;
    }

    EventStreamClient lastSeen(long eventId) {
        lastEventId = eventId;
        return this;
    }

    static HttpClient newHttpClient(Vertx vertx) {
        return vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false), new PoolOptions().setHttp1MaxSize(500));
    }

    EventStreamClient post(HttpClient httpClient) {
        return open(httpClient, HttpMethod.POST, "/api/run");
    }

    EventStreamClient get(HttpClient httpClient) {
        return open(httpClient, HttpMethod.GET, "/events/" + id);
    }

    private EventStreamClient open(HttpClient httpClient, HttpMethod method, String uri) {
        int ownConnectionNumber = ++connectionNumber;
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost("127.0.0.1")
                .setPort(port)
                .setURI(uri)
                .putHeader("X-Request-Id", id)
                .putHeader("X-Class", requestClass)
                .putHeader("X-Tenant", "red")
                .putHeader("X-Deadline", "4");
        if (lastEventId != null) {
            options.putHeader("Last-Event-ID", lastEventId.toString());
        }
        httpClient
                .request(options)
                .compose(request -> request.send("{}"))
                .onSuccess(response -> read(response, ownConnectionNumber))
                .onFailure(ended::completeExceptionally);
        return this;
    }

    private void read(HttpClientResponse response, int ownConnectionNumber) {
        status = response.statusCode();
        connection = response.request().connection();
        StringBuilder text = new StringBuilder();
        response.exceptionHandler(e -> {});
        response.handler(part -> {
            if (ownConnectionNumber != connectionNumber) {
                return;
            }
            rawText += part;
            text.append(part);
            for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                parseEvent(text.substring(0, end));
                text.delete(0, end + 2);
            }
        });
        response.endHandler(v -> {
            if (ownConnectionNumber == connectionNumber) {
                ended.complete(null);
            }
        });
    }

    private void parseEvent(String block) {
        String data = null;
        String name = "message";
        for (String line : block.split("\n")) {
            if (line.startsWith("id: ")) {
                lastEventId = Long.parseLong(line.substring(4));
            } else if (line.startsWith("event: ")) {
                name = line.substring(7);
            } else if (line.startsWith("data: ")) {
                data = line.substring(6);
            }
        }
        if (data != null) {
            events.add(new ReceivedEvent(lastEventId, name, data));
        }
    }

    /** Closes the connection, as a client on an unreliable network does, and connects again. */
    void reconnect(HttpClient httpClient) {
        disconnect();
        post(httpClient);
    }

    /** Closes the connection and connects to another process. */
    void reconnectTo(int otherPort, HttpClient httpClient) {
        disconnect();
        port = otherPort;
        post(httpClient);
    }

    void disconnect() {
        connectionNumber++;
        if (connection != null) {
            connection.close();
        }
    }

    String requestClass() {
        return requestClass;
    }

    long finalEventCount() {
        return events.stream()
                .filter(e -> FINAL_EVENT_NAME.matcher(e.name()).matches())
                .count();
    }

    ReceivedEvent lastEvent() {
        return events.get(events.size() - 1);
    }
}
