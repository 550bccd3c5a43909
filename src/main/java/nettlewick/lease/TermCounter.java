package nettlewick.lease;

import java.nio.ByteBuffer;

/** The default task of a lease that has no other task: its state counts how often the lease was acquired. */
final class TermCounter implements LeaseTask {
    private static final long NO_FENCE = -1;

    private final String leaseName;
    private long countedFence = NO_FENCE;
    private long loggedFence = NO_FENCE;

    TermCounter(String leaseName) {
        this.leaseName = leaseName;
    }

    @Override
    public byte[] proposeNextState(HeldLease lease) {
        long term = lease.state().length == Long.BYTES
                ? ByteBuffer.wrap(lease.state()).getLong()
                : 0;
        if (countedFence != lease.fence()) {
            countedFence = lease.fence();
            return ByteBuffer.allocate(Long.BYTES).putLong(term + 1).array();
        }
        if (loggedFence != lease.fence()) {
            loggedFence = lease.fence();
            LeaseTask.logHeld(leaseName, lease, term);
        }
        return null;
    }
}
