package nettlewick.core;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Records how requests end and what work they took, before their answers are released. Optional: {@link #NONE}
 * releases each answer at once and records nothing.
 */
public interface UsageRecorder {
    /** How a request ended for its client. The order is stored, and the names are exported. */
    enum Ending {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /**
     * A request whose end is decided.
     *
     * @param at       when it was decided, in milliseconds on the {@link Clock}
     * @param attempts how many attempts there were
     * @param work     slot-microseconds from start to end of the attempt that served it; 0 where none did
     * @param estimate whether the work is taken from the client's hint, or from the time since the attempt was sent,
     *                 because no start was reported
     * @param spare    slot-microseconds seen so far of all other attempts: hedged, lost and cancelled ones
     */
    record FinishedRequest(
            Request request,
            Ending ending,
            double decidedAtMillis,
            int attemptCount,
            long workSlotMicros,
            boolean isEstimate,
            long extraWorkSlotMicros) {}

    /** Takes what became of a released answer; only the first call counts. Any thread. */
    interface DeliveryCallback {
        /** Takes no notice. */
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

        /** The last byte of the answer has just been written. */
        void onDelivered();

        /** The client went away before that. */
        void onAbandoned();
    }

    /** Records nothing. */
    UsageRecorder NONE = (finished, release) -> {
        release.accept(DeliveryCallback.NONE);
        return null;
    };

    /**
     * Records the end of a request. Called on the core thread: must not block or throw.
     *
     * @param release releases the answer; to be called exactly once, on any thread, now or when the record allows it.
     *                Where the client has gone there is no answer and the receipt means nothing
     * @return releases the answer if that has not happened, for use after {@link #patience}; null where it has
     */
    Runnable record(FinishedRequest finished, Consumer<DeliveryCallback> release);

    /** How long an answer may be held back, in milliseconds. */
    default double timeoutMillis() {
        return 0;
    }

    /** Metrics for operators, by name. */
    default Map<String, Number> metrics() {
        return Map.of();
    }
}
