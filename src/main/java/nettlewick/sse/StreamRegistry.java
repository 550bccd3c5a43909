package nettlewick.sse;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Streams by request id. Finished streams are retained within limits on time, number and size. After that only the id
 * is kept, so that a repeated request is not mistaken for a new one. Confined to the event loop.
 */
final class StreamRegistry {
    private static final int MAX_FORGOTTEN_IDS = 20_000;

    /** Bounds the heap that the retained final events take, in characters. */
    private static final int MAX_RETAINED_CHARS = 2 << 20;

    /** Subscribers of a finished stream have at least this long to read its final event. */
    private static final double MIN_READ_MILLIS = 5000;

    private record FinishedStream(String id, RequestStream stream, double endedAtMillis) {}

    private final Map<String, RequestStream> streams = new LinkedHashMap<>();
    /** Ordered from the oldest to the newest. */
    private final Deque<FinishedStream> finished = new ArrayDeque<>();

    /** Streams that are no longer retained and whose subscribers still read, from the oldest to the newest. */
    private final Deque<FinishedStream> unread = new ArrayDeque<>();

    private final Set<String> forgottenIds = new LinkedHashSet<>();
    private final double retentionMillis;
    private final int maxFinished;
    private int retainedChars;

    StreamRegistry(double retentionMillis, int maxFinished) {
        this.retentionMillis = retentionMillis;
        this.maxFinished = maxFinished;
    }

    void add(String id, RequestStream stream) {
        streams.put(id, stream);
    }

    /** Returns the stream of this request id, or null. */
    RequestStream get(String id) {
        return streams.get(id);
    }

    /** Whether the registry had a stream of this id that it no longer retains. */
    boolean isForgotten(String id) {
        return forgottenIds.contains(id);
    }

    Collection<RequestStream> streams() {
        return streams.values();
    }

    /** Retains a finished stream, within the limits. */
    void retainFinished(String id, RequestStream stream, double nowMillis) {
        finished.addLast(new FinishedStream(id, stream, nowMillis));
        retainedChars += stream.finalEventLength();
        forgetExpired(nowMillis);
    }

    /** Removes finished streams that have expired or exceed the limits, and closes subscribers that did not read. */
    void forgetExpired(double nowMillis) {
        while (!finished.isEmpty() && mustForgetOldest(nowMillis)) {
            forget(finished.pollFirst());
        }
        unread.removeIf(entry -> !entry.stream().hasSubscribers());
        double readMillis = Math.max(retentionMillis, MIN_READ_MILLIS);
        while (!unread.isEmpty() && nowMillis - unread.peekFirst().endedAtMillis() >= readMillis) {
            // Otherwise a subscriber that never reads would keep its connection and events forever.
            unread.pollFirst().stream().closeSubscribers();
        }
    }

    private boolean mustForgetOldest(double nowMillis) {
        return finished.size() > maxFinished
                || retainedChars > MAX_RETAINED_CHARS
                || nowMillis - finished.peekFirst().endedAtMillis() >= retentionMillis;
    }

    private void forget(FinishedStream oldest) {
        retainedChars -= oldest.stream().finalEventLength();
        streams.remove(oldest.id());
        forgottenIds.add(oldest.id());
        if (forgottenIds.size() > MAX_FORGOTTEN_IDS) {
            forgottenIds.remove(forgottenIds.iterator().next());
        }
        unread.addLast(oldest);
    }
}
