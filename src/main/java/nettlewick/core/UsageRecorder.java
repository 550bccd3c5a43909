package nettlewick.core;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Keeps account of how jobs end. Hangs on the core and can be left out: {@link #NONE} lets each answer go at
 * once and remembers nothing.
 */
public interface UsageRecorder {
    /** How a job ended for its client. */
    enum Ending {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /**
     * A job whose end is decided. Work is in slot-microseconds.
     *
     * @param at       when it was decided, in milliseconds on the {@link Clock}
     * @param attempts how many attempts there were
     * @param work     what the attempt that served it took from its start to its end; 0 where none served it
     * @param estimate whether the work is from the client's hint, or from the whole attempt, since no start
     *                 was told
     * @param spare    work seen of all other attempts until now: second copies, lost and cancelled ones
     */
    record FinishedRequest(
            Request request, Ending ending, double at, int attempts, long work, boolean estimate, long spare) {}

    /** What the front tells of an answer that was let go; only the first word counts. Any thread. */
    interface Receipt {
        Receipt NONE = new Receipt() {
            @Override
            public void answered() {
                // Nobody keeps account.
            }

            @Override
            public void left() {
                // Nobody keeps account.
            }
        };

        /** Its last byte is written, now. */
        void answered();

        /** The client has gone before that. */
        void left();
    }

    /** Keeps no account. */
    UsageRecorder NONE = (job, send) -> {
        send.accept(Receipt.NONE);
        return null;
    };

    /**
     * The one final answer of a job is decided. Called on the core's thread, must not block; no exceptions.
     *
     * @param send lets the answer go; called exactly once, on any thread, now or once the books allow it.
     *             Nobody is told of a job whose client has left: there the receipt means nothing
     * @return lets an answer go that still waits, harmless to call later; null where it has gone
     */
    Runnable settle(FinishedRequest job, Consumer<Receipt> send);

    /** How long an answer may wait for the books, in milliseconds. */
    default double patience() {
        return 0;
    }

    /** Figures for operators, by name. */
    default Map<String, Number> figures() {
        return Map.of();
    }
}
