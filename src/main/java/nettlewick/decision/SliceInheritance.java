package nettlewick.decision;

/** Inherits the binding slice of the predecessor on the ring after a long silence. */
final class SliceInheritance {
    /** Silent intervals after which the state is requested; the slice is inherited after twice as many. */
    private static final int SILENT_INTERVALS_BEFORE_REQUEST = 3;

    private static final long STATE_REQUEST_AFTER_NANOS =
            SILENT_INTERVALS_BEFORE_REQUEST * SchedulerTimings.SHARE_INTERVAL_NANOS;

    private final SchedulerClock clock;
    private final CapacitySlice slice;
    private final SliceMessenger messenger;

    SliceInheritance(SchedulerClock clock, CapacitySlice slice, SliceMessenger messenger) {
        this.clock = clock;
        this.slice = slice;
        this.messenger = messenger;
    }

    /** Checks the predecessor; {@code peer} is null if it has never sent a message. */
    void checkPredecessor(int rank, PeerState peer) {
        if (peer == null
                || !peer.isBinding()
                || peer.isInherited()
                || peer.timeSinceMessage(clock.now()) <= STATE_REQUEST_AFTER_NANOS) {
            return;
        }
        // A predecessor whose messages were lost may still be running, and inheriting its slice would raise the
        // sum over all dispatchers. So its state is requested first, and the slice is returned on its next message.
        if (peer.timeSinceMessage(clock.now()) <= 2 * STATE_REQUEST_AFTER_NANOS) {
            messenger.requestState(rank);
        } else if (slice.isBinding()) {
            slice.credit(peer.inheritSlice());
        } else {
            peer.markNotBinding();
        }
    }

    /** Returns the inherited slice of a peer that has sent a message again. */
    void returnSlice(PeerState peer) {
        slice.returnInherited(peer.inheritedAmount());
        peer.clearInheritance();
    }
}
