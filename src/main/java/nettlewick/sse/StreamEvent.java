package nettlewick.sse;

import com.google.gson.JsonObject;

/** One event of a stream as the WHATWG text frames it. The data is JSON on one line: nothing to split. */
record StreamEvent(long id, String name, String data, boolean isFinal) {
    static StreamEvent progress(long id, double share) {
        JsonObject data = new JsonObject();
        data.addProperty("share", share);
        return new StreamEvent(id, "progress", data.toString(), false);
    }

    static StreamEvent result(long id, String result) {
        JsonObject data = new JsonObject();
        data.addProperty("result", result);
        return new StreamEvent(id, "result", data.toString(), true);
    }

    /** {@code retryAfter} is in milliseconds; the event gives it in seconds, as a Retry-After would. */
    static StreamEvent unavailable(long id, double retryAfter) {
        JsonObject data = new JsonObject();
        data.addProperty("retry_after", retryAfter / 1000);
        return new StreamEvent(id, "unavailable", data.toString(), true);
    }

    static StreamEvent failed(long id, String reason) {
        JsonObject data = new JsonObject();
        data.addProperty("reason", reason);
        return new StreamEvent(id, "failed", data.toString(), true);
    }

    String toWireText() {
        return "id: " + id + "\nevent: " + name + "\ndata: " + data + "\n\n";
    }
}
