package nettlewick.net.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Is shown the traffic that a front serves. Called on the event loop. */
public interface TrafficListener {
    /** Shows nothing to anybody. */
    TrafficListener NONE = new TrafficListener() {};

    /** A request has come whole. */
    default void request(HttpServerRequest request, Buffer body) {}

    /** Its answer is about to be written; the headers are those that the front itself has set. */
    default void answer(HttpServerRequest request, HttpServerResponse response, Buffer body) {}

    /** A connection is closed. */
    default void closed(HttpConnection connection) {}
}
