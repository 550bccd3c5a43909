package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Transfers to and from a peer that restarts. */
class PeerStateTest {
    private static PeerMessage transfer(int incarnation, int number) {
        return new PeerMessage(PeerMessage.Type.TRANSFER, true, incarnation, 1, number, 0, 5);
    }

    @Test
    void eachTransferOfEachIncarnationIsNewOnce() {
        PeerState peer = new PeerState();
        assertTrue(peer.recordTransfer(transfer(7, 1)));
        assertFalse(peer.recordTransfer(transfer(7, 1)));
        assertTrue(peer.recordTransfer(transfer(8, 1)));
        assertFalse(peer.recordTransfer(transfer(7, 1)), "a late copy from the earlier incarnation");
        assertTrue(peer.recordTransfer(transfer(7, 2)));
    }

    @Test
    void onlyTheLatestTransferIsAcknowledgedAndAPeerRestartDropsIt() {
        PeerState peer = new PeerState();
        peer.recordMessage(transfer(7, 1), 0);
        peer.beginTransfer(2);
        peer.acknowledgeTransfer(0);
        assertEquals(2, peer.pendingAmount());
        peer.acknowledgeTransfer(1);
        assertFalse(peer.hasPendingTransfer());
        peer.beginTransfer(3);
        peer.recordMessage(transfer(8, 1), 1);
        assertFalse(peer.hasPendingTransfer());
    }
}
