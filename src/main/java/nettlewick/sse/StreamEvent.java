package nettlewick.sse;

import com.google.gson.JsonObject;
import io.vertx.core.buffer.Buffer;

/**
 * One server-sent event.
 *
 * @param id   the event's number within its stream
 * @param data a line of JSON
 */
record StreamEvent(long id, Type type, String data) {
    private static final double MILLIS_PER_SECOND = 1000;

    /** The types of events, with their names on the wire. */
    enum Type {
        PROGRESS("progress"),
        RESULT("result"),
        REJECTED("unavailable"),
        FAILED("failed");

        private final String wireName;

        Type(String wireName) {
            this.wireName = wireName;
        }
    }

    static StreamEvent progress(long id, double share) {
        JsonObject data = new JsonObject();
        data.addProperty("share", share);
        return new StreamEvent(id, Type.PROGRESS, data.toString());
    }

    static StreamEvent result(long id, String result) {
        JsonObject data = new JsonObject();
        data.addProperty("result", result);
        return new StreamEvent(id, Type.RESULT, data.toString());
    }

    /** Creates the event for a rejected request; its data has the delay in seconds, as a Retry-After header does. */
    static StreamEvent rejected(long id, double retryAfterMillis) {
        JsonObject data = new JsonObject();
        data.addProperty("retry_after", retryAfterMillis / MILLIS_PER_SECOND);
        return new StreamEvent(id, Type.REJECTED, data.toString());
    }

    static StreamEvent failed(long id, String reason) {
        JsonObject data = new JsonObject();
        data.addProperty("reason", reason);
        return new StreamEvent(id, Type.FAILED, data.toString());
    }

    /** Whether this is the last event of its stream. */
    boolean isFinal() {
        return type != Type.PROGRESS;
    }

    /** The event in the text format of the WHATWG specification; the data has no line breaks, so one line holds it. */
    Buffer toWire() {
        return Buffer.buffer("id: " + id + "\nevent: " + type.wireName + "\ndata: " + data + "\n\n");
    }
}
