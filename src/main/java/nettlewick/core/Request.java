package nettlewick.core;

/**
 * A client's request, independent of the protocol by which it arrived. Immutable.
 *
 * @param id             chosen by the client; each id is accepted once
 * @param requestClass   one of the request classes of the settings
 * @param tenant         the tenant that sent the request; null for none
 * @param affinityKey    shared by requests that should go to the same endpoint; null for none
 * @param deadlineMillis when the client stops waiting, in milliseconds on the {@link Clock}
 * @param slots          the endpoint slots that the request occupies
 * @param memory         the endpoint memory that the request occupies
 * @param costHintMillis the client's estimate of the work, in milliseconds; 0 for none
 * @param isRetry        whether the client marked the request as a retry
 * @param payload        passed to the endpoint unchanged
 * @param caller         receives the answer
 */
public record Request(
        String id,
        String requestClass,
        String tenant,
        String affinityKey,
        double deadlineMillis,
        double slots,
        double memory,
        double costHintMillis,
        boolean isRetry,
        Payload payload,
        Caller caller) {

    /** Content that is passed through unchanged; only the frontend that created it and the transport read it. */
    public interface Payload {}

    /** A payload that may have an idempotency key. */
    public interface IdempotencyKeyed extends Payload {
        /** The key, or null for none. */
        String idempotencyKey();
    }

    /**
     * Receives the answer to a request. Exactly one of {@link #onServed}, {@link #onRejected} and {@link #onFailed} is
     * called. Methods are called on the core thread, or on the usage recorder's thread if one holds answers back, and
     * must not block.
     */
    public interface Caller {
        /** Sets the callback to notify when the final answer that follows is written. Notified at once by default. */
        default void setDeliveryCallback(UsageRecorder.DeliveryCallback callback) {
            callback.onDelivered();
        }

        /**
         * Whether the client still waits for the answer. Called on the event loop immediately before an attempt is
         * written; a client that may reconnect to get its answer always counts as present.
         */
        default boolean isPresent() {
            return true;
        }

        /** Not final: progress of the work, from 0 to 1. */
        default void onProgress(double progress) {}

        /** Final: the endpoint's response body. */
        void onServed(byte[] result);

        /** Final: rejected; a retry is safe, preferably after this delay (0 for no advice). */
        void onRejected(double retryAfterMillis);

        /** Final: failed without a result; the request may have been executed. */
        void onFailed(String reason);
    }
}
