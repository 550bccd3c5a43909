package nettlewick.sse;

import io.vertx.core.http.HttpServerRequest;

/**
 * The {@code Last-Event-ID} header of a client that connects. Every stream starts with an id and without an event, so a
 * client that reconnects has this header even if no event was sent before its connection broke.
 *
 * @param isPresent whether the client was connected to a stream of this request before, here or at another process
 * @param number    the number of the last event that it has seen; 0 for none, and if the header is not a number
 */
record LastEventId(boolean isPresent, long number) {
    private static final String HEADER = "Last-Event-ID";

    static LastEventId of(HttpServerRequest http) {
        String text = http.getHeader(HEADER);
        return text == null || text.isBlank()
                ? new LastEventId(false, 0)
                : new LastEventId(true, parseNumber(text.strip()));
    }

    private static long parseNumber(String text) {
        try {
            return Math.max(0, Long.parseLong(text));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
