package nettlewick.decision;

import java.util.HashMap;
import java.util.Map;

/** What is known of another dispatcher, and the transfers of capacity between it and this one. */
final class PeerState {
    private int incarnation;
    private boolean isBinding;
    private double augmentedShare;
    private double slice;
    private long lastMessageAt = SchedulerClock.NEVER;
    private final Map<Integer, Integer> lastTransferByIncarnation = new HashMap<>();
    private int transfersSent;
    private double pendingAmount;
    private double inheritedAmount;

    /** Records that a message of the peer came; another incarnation drops the transfers with the former one. */
    void recordMessage(PeerMessage message, long now) {
        if (message.incarnation() != incarnation) {
            incarnation = message.incarnation();
            pendingAmount = 0;
            inheritedAmount = 0;
        }
        lastMessageAt = now;
        isBinding = message.binding();
    }

    void recordState(double peerAugmentedShare, double peerSlice) {
        augmentedShare = peerAugmentedShare;
        slice = peerSlice;
    }

    int incarnation() {
        return incarnation;
    }

    boolean isBinding() {
        return isBinding;
    }

    void markNotBinding() {
        isBinding = false;
    }

    double augmentedShare() {
        return augmentedShare;
    }

    double slice() {
        return slice;
    }

    /** Nanoseconds since its last message. */
    long timeSinceMessage(long now) {
        return now - lastMessageAt;
    }

    /** Starts the next transfer to the peer, which is pending until acknowledged. */
    void beginTransfer(double amount) {
        pendingAmount = amount;
        transfersSent++;
    }

    /** The number of the latest transfer to the peer, from 1. */
    int transferNumber() {
        return transfersSent;
    }

    boolean hasPendingTransfer() {
        return pendingAmount > 0;
    }

    double pendingAmount() {
        return pendingAmount;
    }

    void acknowledgeTransfer(int number) {
        if (number == transfersSent) {
            pendingAmount = 0;
        }
    }

    /** Whether this transfer from the peer is a new one; true only once for each. */
    boolean recordTransfer(PeerMessage transfer) {
        boolean isNew = transfer.transferNumber() > lastTransferByIncarnation.getOrDefault(transfer.incarnation(), 0);
        if (isNew) {
            lastTransferByIncarnation.put(transfer.incarnation(), transfer.transferNumber());
        }
        return isNew;
    }

    /** Marks the peer's slice as inherited and returns it. */
    double inheritSlice() {
        inheritedAmount = slice;
        return slice;
    }

    boolean isInherited() {
        return inheritedAmount > 0;
    }

    double inheritedAmount() {
        return inheritedAmount;
    }

    void clearInheritance() {
        inheritedAmount = 0;
    }
}
