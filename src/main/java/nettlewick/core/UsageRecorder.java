package nettlewick.core;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Records how requests end and how much work they took, before their answers are released. {@link #NONE} records
 * nothing and releases each answer immediately.
 */
public interface UsageRecorder {
    /** How a request ended for its client. The ordinals are stored and the names are exported; do not change them. */
    enum Ending {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /**
     * A request whose end is decided.
     *
     * @param decidedAtMillis     when the end was decided, in milliseconds on the {@link Clock}
     * @param attemptCount        number of attempts
     * @param workSlotMicros      slot-microseconds from start to end of the attempt that served the request; 0 if none
     * @param isEstimate          whether the work is taken from the client's cost hint, or from the time since the
     *                            attempt was sent, because no start was reported
     * @param extraWorkSlotMicros slot-microseconds observed so far of all other attempts: hedged, lost and cancelled
     *                            ones
     */
    record FinishedRequest(
            Request request,
            Ending ending,
            double decidedAtMillis,
            int attemptCount,
            long workSlotMicros,
            boolean isEstimate,
            long extraWorkSlotMicros) {}

    /** Is notified whether a released answer reached the client; only the first call counts. Thread-safe. */
    interface DeliveryCallback {
        /** A callback that does nothing. */
        DeliveryCallback NONE = new DeliveryCallback() {
            @Override
            public void onDelivered() {
                // Nothing is recorded.
            }

            @Override
            public void onAbandoned() {
                // Nothing is recorded.
            }
        };

        /** The last byte of the answer was written. */
        void onDelivered();

        /** The client disconnected before the last byte was written. */
        void onAbandoned();
    }

    /** Records nothing. */
    UsageRecorder NONE = (finished, release) -> {
        release.accept(DeliveryCallback.NONE);
        return null;
    };

    /**
     * Records the end of a request. Called on the core thread; must not block or throw.
     *
     * @param release releases the answer; to be called exactly once, on any thread, immediately or after recording. If
     *                the client has disconnected, there is no answer and the callback is not used
     * @return releases the answer if it is still held after {@link #timeoutMillis}; null if it is already released
     */
    Runnable record(FinishedRequest finished, Consumer<DeliveryCallback> release);

    /** The longest time that an answer may be held back, in milliseconds. */
    default double timeoutMillis() {
        return 0;
    }

    /** Metrics for operators, by name. */
    default Map<String, Number> metrics() {
        return Map.of();
    }
}
