package nettlewick.net.endpoint;

import java.util.concurrent.Executor;
import java.util.function.DoubleConsumer;

/**
 * Passes on the progress of an attempt. Of the reports that are read in one turn of the event loop only the newest is
 * passed on, at the end of the turn, since each one costs work on the core thread, in the decision module and for every
 * subscriber of a stream. The first report is passed on at once: it tells that the attempt has started. Runs on the
 * event loop.
 */
final class ProgressCoalescer {
    private final DoubleConsumer listener;
    private final Executor endOfTurn;
    private boolean hasReported;
    private boolean isPending;
    private double newest;

    /** @param endOfTurn runs a task at the end of the current turn of the event loop */
    ProgressCoalescer(DoubleConsumer listener, Executor endOfTurn) {
        this.listener = listener;
        this.endOfTurn = endOfTurn;
    }

    /** Records a report, from 0 to 1. */
    void report(double progress) {
        if (!hasReported) {
            hasReported = true;
            listener.accept(progress);
            return;
        }
        newest = progress;
        if (!isPending) {
            isPending = true;
            endOfTurn.execute(this::flush);
        }
    }

    /** Passes on the newest report if it is still pending; to be called before the outcome of the attempt. */
    void flush() {
        if (isPending) {
            isPending = false;
            listener.accept(newest);
        }
    }
}
