package nettlewick.decision;

import java.util.HashMap;
import java.util.Map;

/** What is known of another dispatcher. */
final class PeerState {
    int incarnation;
    boolean binding;
    double augmentedShare;
    double slice;
    long heardAt = SchedulerClock.NEVER;
    /** Number of the last gift taken, for each of its lives. */
    final Map<Integer, Integer> lastTransferByIncarnation = new HashMap<>();

    int transfersSent;
    double pendingAmount;
    double inheritedAmount;

    /** True once for each gift, however often it comes. */
    boolean recordTransfer(PeerMessage gift) {
        boolean first = gift.number() > lastTransferByIncarnation.getOrDefault(gift.incarnation(), 0);
        if (first) {
            lastTransferByIncarnation.put(gift.incarnation(), gift.number());
        }
        return first;
    }
}
