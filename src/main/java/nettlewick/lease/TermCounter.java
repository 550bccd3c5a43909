package nettlewick.lease;

import java.nio.ByteBuffer;

/** A duty that nothing is done with: its state is how many times it has been held. */
final class TermCounter implements LeaseTask {
    private final String duty;
    private long counted = -1;
    private long told = -1;

    TermCounter(String duty) {
        this.duty = duty;
    }

    @Override
    public byte[] turn(HeldLease hold) {
        long term = hold.state().length == Long.BYTES
                ? ByteBuffer.wrap(hold.state()).getLong()
                : 0;
        if (counted != hold.fence()) {
            counted = hold.fence();
            return ByteBuffer.allocate(Long.BYTES).putLong(term + 1).array();
        }
        if (told != hold.fence()) {
            told = hold.fence();
            LeaseTask.held(duty, hold, term);
        }
        return null;
    }
}
