package nettlewick.decision;

/** Takes over the binding slice of the dispatcher before this one on the ring once it has long been silent. */
final class SliceInheritance {
    /** The state is requested after this many silent intervals, and the slice inherited after twice as many. */
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

    /** Checks the predecessor; {@code peer} is null while it has sent nothing. */
    void checkPredecessor(int rank, PeerState peer) {
        if (peer == null
                || !peer.isBinding()
                || peer.isInherited()
                || peer.timeSinceMessage(clock.now()) <= STATE_REQUEST_AFTER_NANOS) {
            return;
        }
        // A predecessor whose messages were lost may still run: inheriting its slice would lift the sum over
        // all dispatchers. Its state is requested first, and the slice is returned when it answers later.
        if (peer.timeSinceMessage(clock.now()) <= 2 * STATE_REQUEST_AFTER_NANOS) {
            messenger.requestState(rank);
        } else if (slice.isBinding()) {
            slice.credit(peer.inheritSlice());
        } else {
            peer.markNotBinding();
        }
    }

    /** Gives an inherited slice back to a peer that has sent a message again. */
    void returnSlice(PeerState peer) {
        slice.returnInherited(peer.inheritedAmount());
        peer.clearInheritance();
    }
}
