package nettlewick.decision;

import java.util.HashMap;
import java.util.Map;

/** The last known state of a peer, and the capacity transfers between it and this dispatcher. */
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

    /** Records a message from the peer; a new incarnation clears the pending transfer and the inherited amount. */
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

    /** Nanoseconds since the peer's last message. */
    long timeSinceMessage(long now) {
        return now - lastMessageAt;
    }

    /** Starts a transfer to the peer, which is pending until it is acknowledged. */
    void beginTransfer(double amount) {
        pendingAmount = amount;
        transfersSent++;
    }

    /** The number of the latest transfer to the peer; the first is 1. */
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

    /** Records a transfer from the peer; returns false for one that was received before. */
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
