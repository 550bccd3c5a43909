package nettlewick.lease;

import java.util.List;
import nettlewick.log.ComponentLogger;

/**
 * What is done under one lease, by its holder and by the dispatchers that follow it. All methods are called on the
 * lease thread, one at a time; none may block.
 */
public interface LeaseTask {
    /**
     * A lease that is held at the moment of the call.
     *
     * @param fence   grows with each holder; goes with each act, so that a {@link FenceGate} can reject former holders
     * @param version the state's version
     * @param state   as a majority of voters has stored it; empty before the first change
     * @param now     milliseconds of the monotonic clock
     */
    record HeldLease(long fence, long version, byte[] state, double nowMillis) {}

    /** The lease service, as a task sees it. */
    interface LeaseControl {
        /** Runs this on the lease thread. Any thread. */
        void execute(Runnable task);

        /** Whether the lease is held at this moment; to be called on the lease thread, right before an act. */
        boolean mayAct(String leaseName);

        /**
         * The resource that is acted on has seen this fence, which is above the holder's own: the lease is released and
         * acquired again above it. On the lease thread.
         */
        void yieldToHigherFence(String leaseName, long fence);
    }

    /** Logs that the lease is held, once its term is stored. */
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

    /** Called once, when the lease service starts. */
    default void start(LeaseControl control) {}

    /** Called at the holder many times a lease, while no change is pending: the next state, or null for no change. */
    byte[] proposeNextState(HeldLease lease);

    /** The lease is no longer held here. */
    default void onLost() {}

    /**
     * The newest version that a majority has stored, whoever holds the lease; called again at each announcement, also
     * where nothing has changed.
     *
     * @param fence   the holder's
     * @param listens whether the holder requests reports from all dispatchers
     * @param now     milliseconds of the monotonic clock
     */
    default void onStoredState(long fence, long version, byte[] state, boolean requestsReports, double nowMillis) {}

    /** At the holder: whether it requests reports from all dispatchers. */
    default boolean requestsReports() {
        return false;
    }

    /** At the holder: whether announcements may be rare, since nobody waits for one. */
    default boolean isIdle() {
        return false;
    }

    /**
     * At the holder: a report of another dispatcher.
     *
     * @param from the dispatcher's number
     * @param life the dispatcher's incarnation, which a restart changes
     * @param word the report
     * @param now  milliseconds of the monotonic clock
     */
    default void onReport(int sender, long incarnation, byte[] report, double nowMillis) {}

    /**
     * The reports to send to the holder, each in a datagram of its own.
     *
     * @param fence the holder's; 0 where no holder is known
     * @param now   milliseconds of the monotonic clock
     */
    default List<byte[]> collectReports(long fence, double nowMillis) {
        return List.of();
    }
}
