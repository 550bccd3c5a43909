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
    private static final int IDS_MOST = 20_000;

    /** Characters of final events kept: they share a small heap with everything else. */
    private static final int SIZE_MOST = 2 << 20;

    private record Finished(String id, RequestStream stream, double at) {}

    private final Map<String, RequestStream> streams = new LinkedHashMap<>();
    private final Deque<Finished> finished = new ArrayDeque<>();
    private final Set<String> past = new LinkedHashSet<>();
    private final double keep;
    private final int most;
    private int size;

    StreamRegistry(double keep, int most) {
        this.keep = keep;
        this.most = most;
    }

    void add(String id, RequestStream stream) {
        streams.put(id, stream);
    }

    RequestStream get(String id) {
        return streams.get(id);
    }

    /** True if a stream of this id was here and is forgotten. */
    boolean isPast(String id) {
        return past.contains(id);
    }

    Collection<RequestStream> all() {
        return streams.values();
    }

    void ended(String id, RequestStream stream, double now) {
        finished.addLast(new Finished(id, stream, now));
        size += stream.size();
        expire(now);
    }

    /** Forgets what has been finished for too long, or is too much. */
    void expire(double now) {
        while (!finished.isEmpty()
                && (finished.size() > most
                        || size > SIZE_MOST
                        || now - finished.peekFirst().at() >= keep)) {
            Finished oldest = finished.pollFirst();
            size -= oldest.stream().size();
            streams.remove(oldest.id());
            past.add(oldest.id());
            if (past.size() > IDS_MOST) {
                past.remove(past.iterator().next());
            }
            // Danger: a reader that never reads would hold its connection and its events for good.
            oldest.stream().closeReaders();
        }
    }
}
