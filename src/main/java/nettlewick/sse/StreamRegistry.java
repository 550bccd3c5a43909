package nettlewick.sse;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Streams by request id. Finished ones are retained for a limited time, number and size; of those forgotten the id
 * alone is remembered, so that a repeated request is never taken for a new one. Event loop.
 */
final class StreamRegistry {
    private static final int MAX_FORGOTTEN_IDS = 20_000;

    /** Characters of final events retained, for the sake of the heap. */
    private static final int MAX_RETAINED_CHARS = 2 << 20;

    private record FinishedStream(String id, RequestStream stream, double endedAtMillis) {}

    private final Map<String, RequestStream> streams = new LinkedHashMap<>();
    /** The oldest first. */
    private final Deque<FinishedStream> finished = new ArrayDeque<>();

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

    /** The stream of this request id, or null. */
    RequestStream get(String id) {
        return streams.get(id);
    }

    /** Whether a stream of this id was here and is forgotten. */
    boolean isForgotten(String id) {
        return forgottenIds.contains(id);
    }

    Collection<RequestStream> streams() {
        return streams.values();
    }

    /** Retains a stream that has its final event, within the limits. */
    void retainFinished(String id, RequestStream stream, double nowMillis) {
        finished.addLast(new FinishedStream(id, stream, nowMillis));
        retainedChars += stream.finalEventLength();
        forgetExpired(nowMillis);
    }

    /** Forgets finished streams that are too old, or over the limits. */
    void forgetExpired(double nowMillis) {
        while (!finished.isEmpty() && mustForgetOldest(nowMillis)) {
            forget(finished.pollFirst());
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
        // A subscriber that never reads would keep its connection and events for ever.
        oldest.stream().closeSubscribers();
    }
}
