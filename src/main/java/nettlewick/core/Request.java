package nettlewick.core;

/**
 * A job that a client has handed in, without the wire it came by.
 *
 * @param deadline when the client stops waiting, in milliseconds on the {@link Clock}
 * @param hint     the client's guess at the work, in milliseconds; 0 for none
 * @param cargo    what goes on to the worker unchanged
 */
public record Request(
        String id,
        String requestClass,
        String tenant,
        String key,
        double deadline,
        double slots,
        double memory,
        double costHint,
        boolean repeat,
        Cargo cargo,
        Caller caller) {

    /** What passes through untouched; only the front that made it and the transport look inside. */
    public interface Cargo {}

    /** A cargo that carries an idempotency key, or null in its place. */
    public interface Keyed extends Cargo {
        String idempotencyKey();
    }

    /** The side that waits for a request. Exactly one of the three final answers comes. */
    public interface Caller {
        /**
         * The books wait for word of the final answer, which comes next. By default it counts as answered.
         */
        default void receipt(UsageRecorder.Receipt receipt) {
            receipt.answered();
        }

        /**
         * Whether anybody still waits for the answer. Asked on the event loop, in the turn that would send
         * the request on; a client that comes back for its job counts as present all the time.
         */
        default boolean present() {
            return true;
        }

        /** A sign of life: the share of the job that is done. Not final. */
        default void progress(double share) {}

        /** Final: the worker's result. */
        void served(byte[] result);

        /** Final: turned away, trying again is harmless, after so many milliseconds (0: no advice). */
        void rejected(double retryAfter);

        /** Final: no result, and nothing is promised. */
        void failed(String reason);
    }
}
