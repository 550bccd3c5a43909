package nettlewick.sse;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Streams by request id. Finished ones are kept for a bounded time and number; of those forgotten the id
 * alone is remembered, so that a request that comes again is never taken for a new one.
 */
final class StreamRegistry {
    /** Ids remembered of streams that are forgotten. */
    private static final int MAX_FORGOTTEN_IDS = 20_000;

    /** Characters of final events kept: they share a small heap with everything else. */
    private static final int MAX_RETAINED_CHARS = 2 << 20;

    private record FinishedStream(String id, RequestStream stream, double endedAtMillis) {}

    private final Map<String, RequestStream> streams = new LinkedHashMap<>();
    private final Deque<FinishedStream> finished = new ArrayDeque<>();
    private final Set<String> forgottenIds = new LinkedHashSet<>();
    private final double retentionMillis;
    private final int maxFinished;
    private int retainedChars;

    StreamRegistry(double keep, int most) {
        this.retentionMillis = keep;
        this.maxFinished = most;
    }

    void add(String id, RequestStream stream) {
        streams.put(id, stream);
    }

    RequestStream get(String id) {
        return streams.get(id);
    }

    /** True if a stream of this id was here and is forgotten. */
    boolean isForgotten(String id) {
        return forgottenIds.contains(id);
    }

    Collection<RequestStream> streams() {
        return streams.values();
    }

    void retainFinished(String id, RequestStream stream, double now) {
        finished.addLast(new FinishedStream(id, stream, now));
        retainedChars += stream.finalEventLength();
        forgetExpired(now);
    }

    /** Forgets what has been finished for too long, or is too much. */
    void forgetExpired(double now) {
        while (!finished.isEmpty()
                && (finished.size() > maxFinished
                        || retainedChars > MAX_RETAINED_CHARS
                        || now - finished.peekFirst().endedAtMillis() >= retentionMillis)) {
            FinishedStream oldest = finished.pollFirst();
            retainedChars -= oldest.stream().finalEventLength();
            streams.remove(oldest.id());
            forgottenIds.add(oldest.id());
            if (forgottenIds.size() > MAX_FORGOTTEN_IDS) {
                forgottenIds.remove(forgottenIds.iterator().next());
            }
            // Danger: a reader that never reads would hold its connection and its events for good.
            oldest.stream().closeSubscribers();
        }
    }
}
