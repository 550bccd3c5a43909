package nettlewick.decision;

import nettlewick.decision.Action.SendToPeer;

/** Sends peer messages about this dispatcher's slice, with its incarnation and the current state of the slice. */
final class SliceMessenger {
    private final ActionBatch actions;
    private final CapacitySlice slice;
    private final int incarnation;

    SliceMessenger(ActionBatch actions, CapacitySlice slice, int incarnation) {
        this.actions = actions;
        this.slice = slice;
        this.incarnation = incarnation;
    }

    /** The number that distinguishes this process from earlier processes with the same rank. */
    int incarnation() {
        return incarnation;
    }

    void sendState(int rank) {
        send(rank, PeerMessage.Type.STATE, 0, 0, slice.rate());
    }

    void requestState(int rank) {
        send(rank, PeerMessage.Type.STATE_REQUEST, 0, 0, 0);
    }

    /** Sends or resends the pending transfer to the peer. */
    void sendTransfer(int rank, PeerState peer) {
        send(rank, PeerMessage.Type.TRANSFER, peer.incarnation(), peer.transferNumber(), peer.pendingAmount());
    }

    void acknowledge(int rank, PeerMessage transfer) {
        send(rank, PeerMessage.Type.ACK, transfer.incarnation(), transfer.transferNumber(), 0);
    }

    private void send(int rank, PeerMessage.Type type, int peerIncarnation, int transferNumber, double amount) {
        PeerMessage message = new PeerMessage(
                type, slice.isBinding(), incarnation, peerIncarnation, transferNumber, slice.augmentedShare(), amount);
        actions.add(new SendToPeer(rank, message.encode()));
    }
}
