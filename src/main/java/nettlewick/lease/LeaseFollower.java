package nettlewick.lease;

import java.util.List;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * What a dispatcher knows about one lease from its holder's announcements: the holder and the newest state.
 * Announcements whose fence is lower than the highest one seen are ignored. Does no I/O; confined to one thread.
 */
final class LeaseFollower {
    private static final int NO_HOLDER = -1;
    private static final long UNKNOWN = -1;

    private final String leaseName;
    private final int dispatcher;
    private final FenceGate fenceGate = new FenceGate();
    private int holder = NO_HOLDER;
    private long fence;
    private long version = UNKNOWN;
    private byte[] state;
    /** The fence under which the state was announced: a tier that has lost its records restarts the version count. */
    private long stateFence = UNKNOWN;

    LeaseFollower(String leaseName, int dispatcher) {
        this.leaseName = leaseName;
        this.dispatcher = dispatcher;
    }

    boolean hasHolder() {
        return holder != NO_HOLDER;
    }

    /** The number of the dispatcher that last announced the lease; -1 before the first announcement. */
    int holder() {
        return holder;
    }

    /** The highest announced fence; 0 before the first announcement. */
    long fence() {
        return fence;
    }

    /** The version of {@link #state}; -1 if no state is known. */
    long version() {
        return version;
    }

    /** The newest known state, or null. */
    byte[] state() {
        return state;
    }

    /** Records the state while this dispatcher holds the lease itself. */
    void recordOwnState(long ownFence, long newVersion, byte[] newState) {
        fenceGate.admits(leaseName, ownFence);
        holder = dispatcher;
        fence = ownFence;
        version = newVersion;
        state = newState;
        stateFence = ownFence;
    }

    /** Handles an announcement; returns a request for the state if it is missing. */
    List<Outgoing> handle(LeaseMessage announcement) {
        if (!fenceGate.admits(leaseName, announcement.ballot())) {
            return List.of();
        }
        holder = announcement.sender();
        fence = announcement.ballot();
        if (announcement.hasState() && (stateFence < fence || announcement.version() > version)) {
            version = announcement.version();
            state = announcement.state();
            stateFence = fence;
            return List.of();
        }
        if (isUpToDate(announcement)) {
            return List.of();
        }
        LeaseMessage request = LeaseMessage.of(Kind.REQUEST_STATE, leaseName, dispatcher, 0, announcement.ballot());
        return List.of(new Outgoing(announcement.sender(), request));
    }

    /** Whether the known state has the version and fence of this announcement. */
    boolean isUpToDate(LeaseMessage announcement) {
        return announcement.ballot() == stateFence && announcement.version() == version;
    }
}
