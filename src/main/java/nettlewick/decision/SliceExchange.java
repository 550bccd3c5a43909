package nettlewick.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Conserved transfers of capacity between the binding dispatchers that are nearest on the ring of ranks. The
 * giver debits at once and sends again until acknowledged, so that no lost message lifts the sum of slices.
 */
final class SliceExchange {
    /** The transfer gain; with two neighbors its bound is 1/4. */
    private static final double TRANSFER_GAIN = 0.25;

    private static final int MIN_REACH = 2;
    /** A peer that has been silent for longer takes no part. */
    private static final long MAX_SILENCE_NANOS = 5 * SchedulerTimings.SHARE_INTERVAL_NANOS / 2;

    private final SchedulerSettings settings;
    private final SchedulerClock clock;
    private final CapacitySlice slice;
    private final SliceMessenger messenger;
    private final SliceInheritance inheritance;
    private final Map<Integer, PeerState> peers = new LinkedHashMap<>();
    /** How far along the ring binding peers are looked for. */
    private int reach = MIN_REACH;

    SliceExchange(
            SchedulerContext context, CapacitySlice slice, SliceMessenger messenger, SliceInheritance inheritance) {
        this.settings = context.settings();
        this.clock = context.clock();
        this.slice = slice;
        this.messenger = messenger;
        this.inheritance = inheritance;
    }

    /** Slots debited here and not yet acknowledged. */
    double pendingAmount() {
        return peers.values().stream().mapToDouble(PeerState::pendingAmount).sum();
    }

    /** Slots inherited and not given back. */
    double inheritedAmount() {
        return peers.values().stream().mapToDouble(PeerState::inheritedAmount).sum();
    }

    /** Ends an interval: sends the successor its state, checks the predecessor, and transfers down to {@code floor}. */
    void closeInterval(double floor) {
        int fleetSize = settings.fleetSize();
        int successor = (settings.rank() + 1) % fleetSize;
        int predecessor = Math.floorMod(settings.rank() - 1, fleetSize);
        messenger.sendState(successor);
        inheritance.checkPredecessor(predecessor, peers.get(predecessor));
        if (!slice.isBinding()) {
            reach = MIN_REACH;
            return;
        }
        int ahead = exchangeInDirection(1, successor, -1, floor);
        int behind = exchangeInDirection(-1, successor, ahead, floor);
        if (ahead < 0 && behind < 0) {
            reach = reach >= fleetSize / 2 ? MIN_REACH : 2 * reach;
        }
    }

    /**
     * Exchanges with the nearest binding peer in one direction. Returns its rank, or {@code alreadyMet} if
     * there is none; that one, and the successor, get the state no second time.
     */
    private int exchangeInDirection(int direction, int successor, int alreadyMet, double floor) {
        int fleetSize = settings.fleetSize();
        for (int distance = 1; distance <= Math.min(reach, fleetSize / 2); distance++) {
            int rank = Math.floorMod(settings.rank() + direction * distance, fleetSize);
            if (rank != successor && rank != alreadyMet) {
                messenger.sendState(rank);
            }
            PeerState peer = peers.get(rank);
            if (peer != null && peer.isBinding() && peer.silence(clock.now()) <= MAX_SILENCE_NANOS) {
                if (rank != alreadyMet) {
                    transferTo(rank, peer, floor);
                }
                return rank;
            }
        }
        return alreadyMet;
    }

    /** The end with the higher augmented share gives. */
    private void transferTo(int rank, PeerState peer, double floor) {
        double amount =
                Math.min(TRANSFER_GAIN * (slice.augmentedShare() - peer.augmentedShare()), slice.rate() - floor);
        if (amount > 0 && !peer.hasPendingTransfer()) {
            slice.debit(amount);
            peer.beginTransfer(amount);
            messenger.sendTransfer(rank, peer);
        }
    }

    /** Sends all transfers again that are not acknowledged. */
    void resendPending() {
        peers.forEach((rank, peer) -> {
            if (peer.hasPendingTransfer()) {
                messenger.sendTransfer(rank, peer);
            }
        });
    }

    /** Takes a peer's message; the caller has checked the rank. */
    void receive(int rank, PeerMessage message) {
        PeerState peer = peers.computeIfAbsent(rank, r -> new PeerState());
        peer.recordMessage(message, clock.now());
        inheritance.returnTo(peer);
        boolean isForThisIncarnation = message.peerIncarnation() == messenger.incarnation();
        switch (message.type()) {
            case STATE -> peer.recordState(message.augmentedShare(), message.amount());
            case STATE_REQUEST -> messenger.sendState(rank);
            case ACK -> {
                if (isForThisIncarnation) {
                    peer.acknowledgeTransfer(message.number());
                }
            }
            case TRANSFER -> {
                if (isForThisIncarnation) {
                    // A copy that was sent again, or comes late from an earlier incarnation, credits nothing.
                    slice.credit(peer.recordTransfer(message) ? message.amount() : 0);
                    messenger.acknowledge(rank, message);
                }
            }
        }
    }
}
