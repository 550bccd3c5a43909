package nettlewick.lease;

import java.nio.ByteBuffer;

/** A duty that nothing is done with: its state is how many times it has been held. */
final class TermCounter implements LeaseTask {
    private final String leaseName;
    private long countedFence = -1;
    private long announcedFence = -1;

    TermCounter(String leaseName) {
        this.leaseName = leaseName;
    }

    @Override
    public byte[] turn(HeldLease lease) {
        long term = lease.state().length == Long.BYTES
                ? ByteBuffer.wrap(lease.state()).getLong()
                : 0;
        if (countedFence != lease.fence()) {
            countedFence = lease.fence();
            return ByteBuffer.allocate(Long.BYTES).putLong(term + 1).array();
        }
        if (announcedFence != lease.fence()) {
            announcedFence = lease.fence();
            LeaseTask.held(leaseName, lease, term);
        }
        return null;
    }
}
