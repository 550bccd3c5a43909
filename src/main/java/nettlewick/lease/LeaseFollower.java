package nettlewick.lease;

import java.util.ArrayList;
import java.util.List;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Post;

/**
 * What a dispatcher knows of a duty that it follows: who holds it, and the newest version told. A fence below
 * the highest seen is refused, as by whoever else is acted on. Pure.
 */
final class LeaseFollower {
    /** In the echo of news: the state goes with it. */
    static final long WHOLE = 1;

    private final String duty;
    private final int number;
    private int holder = -1;
    private long fence;
    private long version = -1;
    private byte[] state;
    /** The fence under which the state was told: one who has lost all may count versions anew. */
    private long toldUnder = -1;

    private final FenceGate gate = new FenceGate();

    LeaseFollower(String duty, int number) {
        this.duty = duty;
        this.number = number;
    }

    String duty() {
        return duty;
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
    void own(long ownFence, long newVersion, byte[] newState) {
        gate.admits(duty, ownFence);
        holder = number;
        fence = ownFence;
        version = newVersion;
        state = newState;
        toldUnder = ownFence;
    }

    /** Takes the holder's word; what to answer comes back. */
    List<Post> hear(LeaseMessage m) {
        List<Post> out = new ArrayList<>();
        if (!gate.admits(duty, m.ballot())) {
            return out;
        }
        holder = m.from();
        fence = m.ballot();
        if ((m.echo() & WHOLE) != 0 && (toldUnder < fence || m.version() > version)) {
            version = m.version();
            state = m.state();
            toldUnder = fence;
        } else if (!upToDate(m)) {
            out.add(new Post(m.from(), LeaseMessage.of(Kind.BEHIND, duty, number, 0, m.ballot())));
        }
        return out;
    }

    /** Whether what is known is what this word of the holder's says. */
    boolean upToDate(LeaseMessage m) {
        return m.ballot() == toldUnder && m.version() == version;
    }
}
