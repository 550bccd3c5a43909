package nettlewick.net.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Observes the traffic that a frontend serves. Called on the event loop. */
public interface TrafficListener {
    /** Ignores all traffic. */
    TrafficListener NONE = new TrafficListener() {};

    /** A complete request has been received. */
    default void requestReceived(HttpServerRequest request, Buffer body) {}

    /** The response is about to be written; it has only the headers that the frontend has set. */
    default void responseStarting(HttpServerRequest request, HttpServerResponse response, Buffer body) {}

    /** Called when a client connection has closed. */
    default void connectionClosed(HttpConnection connection) {}
}
