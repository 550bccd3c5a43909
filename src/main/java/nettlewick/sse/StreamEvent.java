package nettlewick.sse;

import com.google.gson.JsonObject;

/**
 * One server-sent event.
 *
 * @param id   its number within its stream
 * @param data JSON on one line
 */
record StreamEvent(long id, Type type, String data) {
    private static final double MILLIS_PER_SECOND = 1000;

    /** The types of events, with the names that clients see. */
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

    /** The event gives the time in seconds, as a Retry-After header would. */
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

    /** Whether it is the last event of its stream. */
    boolean isFinal() {
        return type != Type.PROGRESS;
    }

    /** The event as the WHATWG specification frames it; the data has no line break to split at. */
    String toWireText() {
        return "id: " + id + "\nevent: " + type.wireName + "\ndata: " + data + "\n\n";
    }
}
