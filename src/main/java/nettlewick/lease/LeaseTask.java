package nettlewick.lease;

import java.util.List;
import nettlewick.log.ComponentLogger;

/**
 * What is done with one duty, by its holder and by those who follow it. All calls come on the duties' thread,
 * one at a time; none may block.
 */
public interface LeaseTask {
    /**
     * What a holder has in hand, right after its lease was looked at.
     *
     * @param state as a majority has stored it; empty at the first time
     * @param now   milliseconds of the monotonic clock
     */
    record HeldLease(long fence, long version, byte[] state, double now) {}

    /** The ways back from another thread, and out of the duties' own. */
    interface Desk {
        /** Has this done on the duties' thread. Any thread. */
        void run(Runnable task);

        /** Whether the duty is held at this moment; on the duties' thread, right before an act. */
        boolean mayAct(String leaseName);

        /** Whoever is acted on has seen this fence, above the own: the duty is taken again above it. */
        void outdo(String leaseName, long fence);
    }

    /** Tells operators that a duty is held, once its term is stored. */
    static void held(String leaseName, HeldLease lease, long term) {
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

    /** At the start. */
    default void joins(Desk desk) {}

    /** While the duty is held and no change on its way, many times a lease: the next state, or null. */
    byte[] turn(HeldLease lease);

    /** It is held no more. */
    default void lost() {}

    /**
     * The newest version that a majority has stored, whoever holds it; also where nothing changed.
     *
     * @param listens whether the holder wants a word from all
     */
    default void news(long fence, long version, byte[] state, boolean listens, double now) {}

    /** At the holder: whether a word is wanted from all. */
    default boolean listens() {
        return false;
    }

    /** At the holder: whether nothing hangs on the others' hearing of it soon. */
    default boolean idle() {
        return false;
    }

    /** At the holder: what a dispatcher has seen, since that life of it began. */
    default void word(int from, long incarnation, byte[] report, double now) {}

    /** What the holder under that fence should know of what was seen here, a datagram each. */
    default List<byte[]> tell(long fence, double now) {
        return List.of();
    }
}
