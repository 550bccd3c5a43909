package nettlewick.lease;

import java.util.List;
import nettlewick.log.ComponentLogger;

/**
 * The work that is tied to one lease, at its holder and at the dispatchers that follow it. All methods are called on
 * the lease thread, one at a time, and must not block.
 */
public interface LeaseTask {
    /**
     * A lease that is held at the time of the call.
     *
     * @param fence     increases with each new holder; is sent with each operation, so that a {@link FenceGate} can
     *                  reject former holders
     * @param version   the state's version
     * @param state     the state that a majority of voters has stored; empty before the first change
     * @param nowMillis milliseconds of the monotonic clock
     */
    record HeldLease(long fence, long version, byte[] state, double nowMillis) {}

    /** The methods of the lease service that a task may call. */
    interface LeaseControl {
        /** Runs a task on the lease thread. May be called from any thread. */
        void execute(Runnable task);

        /** Whether the lease is held now. Must be called on the lease thread, right before each operation. */
        boolean mayAct(String leaseName);

        /**
         * Releases the lease and acquires it again under a higher fence, since the protected resource has seen
         * {@code fence}, which is above the holder's own. Must be called on the lease thread.
         */
        void yieldToHigherFence(String leaseName, long fence);
    }

    /** Logs that this dispatcher holds the lease; called once its term is stored. */
    static void logHeld(String leaseName, HeldLease lease, long term) {
        ComponentLogger.of("duty")
                .info(
                        "duty-held",
                        "holds " + leaseName + ", term " + term,
                        "duty",
                        leaseName,
                        "fence",
                        lease.fence(),
                        "term",
                        term,
                        "version",
                        lease.version());
    }

    /** Called once when the lease service starts. */
    default void start(LeaseControl control) {}

    /**
     * Returns the next state, or null for no change. Called on the holder many times per lease duration, while no
     * change is pending.
     */
    byte[] proposeNextState(HeldLease lease);

    /** Called when this dispatcher no longer holds the lease. */
    default void onLost() {}

    /**
     * Called with the newest version that a majority has stored, whichever dispatcher holds the lease, and again at
     * each announcement even if nothing has changed.
     *
     * @param fence           the holder's fence
     * @param requestsReports whether the holder requests reports from all dispatchers
     * @param nowMillis       milliseconds of the monotonic clock
     */
    default void onStoredState(long fence, long version, byte[] state, boolean requestsReports, double nowMillis) {}

    /** Whether the holder requests reports from all dispatchers. Called on the holder. */
    default boolean requestsReports() {
        return false;
    }

    /** Whether announcements may be sent rarely, because no dispatcher waits for one. Called on the holder. */
    default boolean isIdle() {
        return false;
    }

    /**
     * Handles a report from another dispatcher. Called on the holder.
     *
     * @param sender      the dispatcher's number
     * @param incarnation the dispatcher's incarnation, which changes when it restarts
     * @param report      the report
     * @param nowMillis   milliseconds of the monotonic clock
     */
    default void onReport(int sender, long incarnation, byte[] report, double nowMillis) {}

    /**
     * Returns the reports to send to the holder, each in its own datagram.
     *
     * @param fence     the holder's fence; 0 if no holder is known
     * @param nowMillis milliseconds of the monotonic clock
     */
    default List<byte[]> collectReports(long fence, double nowMillis) {
        return List.of();
    }
}
