package nettlewick.net.client;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bytes of requests that all clients of a frontend may use together: of the unfinished ones, of those that wait,
 * and of those in flight. Runs on the event loop.
 */
final class RequestByteBudget {
    private final long maxBytes;
    /** How to reject each unfinished request, the oldest first. */
    private final Set<Runnable> unfinished = new LinkedHashSet<>();

    private long usedBytes;

    RequestByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * A client has begun to send a request.
     *
     * @param reject rejects the request and returns its bytes
     */
    void addUnfinished(Runnable reject) {
        unfinished.add(reject);
    }

    /** The request has come completely, or is dropped. */
    void removeUnfinished(Runnable reject) {
        unfinished.remove(reject);
    }

    /**
     * Counts these bytes, also where they exceed the budget. Unfinished requests are rejected for as long as it is
     * exceeded, the oldest first: clients that send slowly must not keep others from being served.
     *
     * @return whether the bytes are within the budget
     */
    boolean reserve(long bytes) {
        usedBytes += bytes;
        while (usedBytes > maxBytes && !unfinished.isEmpty()) {
            Runnable rejectOldest = unfinished.iterator().next();
            unfinished.remove(rejectOldest);
            rejectOldest.run();
        }
        return usedBytes <= maxBytes;
    }

    /** Returns bytes that were reserved. */
    void release(long bytes) {
        usedBytes -= bytes;
    }
}
