package nettlewick.lease;

import java.util.ArrayList;
import java.util.List;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * What a dispatcher knows of a duty that it follows: who holds it, and the newest version told. A fence below
 * the highest seen is refused, as by whoever else is acted on. Pure.
 */
final class LeaseFollower {
    /** In the echo of news: the state goes with it. */
    static final long FLAG_HAS_STATE = 1;

    private final String leaseName;
    private final int dispatcher;
    private int holder = -1;
    private long fence;
    private long version = -1;
    private byte[] state;
    /** The fence under which the state was told: one who has lost all may count versions anew. */
    private long stateFence = -1;

    private final FenceGate gate = new FenceGate();

    LeaseFollower(String leaseName, int number) {
        this.leaseName = leaseName;
        this.dispatcher = number;
    }

    String leaseName() {
        return leaseName;
    }

    /** The holder by its last word, or -1. */
    int holder() {
        return holder;
    }

    long fence() {
        return fence;
    }

    long version() {
        return version;
    }

    /** The state of the version that is known; null where none is. */
    byte[] state() {
        return state;
    }

    /** This dispatcher holds it itself. */
    void recordOwnState(long ownFence, long newVersion, byte[] newState) {
        gate.admits(leaseName, ownFence);
        holder = dispatcher;
        fence = ownFence;
        version = newVersion;
        state = newState;
        stateFence = ownFence;
    }

    /** Takes the holder's word; what to answer comes back. */
    List<Outgoing> handle(LeaseMessage message) {
        List<Outgoing> out = new ArrayList<>();
        if (!gate.admits(leaseName, message.ballot())) {
            return out;
        }
        holder = message.sender();
        fence = message.ballot();
        if ((message.requestId() & FLAG_HAS_STATE) != 0 && (stateFence < fence || message.version() > version)) {
            version = message.version();
            state = message.state();
            stateFence = fence;
        } else if (!isUpToDate(message)) {
            out.add(new Outgoing(
                    message.sender(), LeaseMessage.of(Kind.REQUEST_STATE, leaseName, dispatcher, 0, message.ballot())));
        }
        return out;
    }

    /** Whether what is known is what this word of the holder's says. */
    boolean isUpToDate(LeaseMessage message) {
        return message.ballot() == stateFence && message.version() == version;
    }
}
