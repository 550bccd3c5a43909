package nettlewick.core;

/**
 * A client's request, independent of the protocol that it came by. Immutable; any thread.
 *
 * @param id           chosen by the client, accepted once
 * @param requestClass one of the classes of the settings
 * @param tenant       whose request it is; null for none
 * @param key          what requests that belong together share, for affinity; null for none
 * @param deadline     when the client stops waiting, in milliseconds on the {@link Clock}
 * @param slots        the endpoint slots that it occupies
 * @param memory       the endpoint memory that it occupies
 * @param costHint     the client's estimate of the work, in milliseconds; 0 for none
 * @param repeat       whether the client says that it is a retry
 * @param cargo        what goes on to the endpoint unchanged
 * @param caller       who waits for the answer
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

    /** What passes through unchanged; only the frontend that made it and the transport look inside. */
    public interface Payload {}

    /** A cargo that may carry an idempotency key. */
    public interface IdempotencyKeyed extends Payload {
        /** The key, or null for none. */
        String idempotencyKey();
    }

    /**
     * The side that waits for a request. Exactly one of the three final answers comes. Calls come from the core
     * thread, or from the usage recorder's thread where one holds answers back, and must not block.
     */
    public interface Caller {
        /** The receipt to notify once the final answer, which comes next, is written. By default it is at once. */
        default void setDeliveryCallback(UsageRecorder.DeliveryCallback callback) {
            callback.onDelivered();
        }

        /**
         * Whether anybody still waits for the answer. Asked on the event loop right before an attempt is written; a
         * client that may reconnect for its answer counts as present all the time.
         */
        default boolean isPresent() {
            return true;
        }

        /** Not final: this share of the work is done, from 0 to 1. */
        default void onProgress(double progress) {}

        /** Final: the endpoint's result. */
        void onServed(byte[] result);

        /** Final: rejected, a retry is harmless, best after that many milliseconds (0 for no advice). */
        void onRejected(double retryAfterMillis);

        /** Final: no result, and the request may have been executed. */
        void onFailed(String reason);
    }
}
