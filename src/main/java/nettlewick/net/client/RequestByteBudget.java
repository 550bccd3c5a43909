package nettlewick.net.client;

/** The bytes of unfinished and waiting requests that all clients of a frontend may use together. */
final class RequestByteBudget {
    private final long maxBytes;
    private long bufferedBytes;

    RequestByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts these bytes, also where they exceed the budget; returns whether they are within it. */
    boolean reserve(long bytes) {
        bufferedBytes += bytes;
        return bufferedBytes <= maxBytes;
    }

    /** Returns bytes that were reserved. */
    void release(long bytes) {
        bufferedBytes -= bytes;
    }
}
