package nettlewick.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Transfers capacity between dispatchers with binding slices that are nearest on the ring of ranks. The giver
 * debits its slice first and resends until acknowledged, so that a lost message never raises the sum of slices.
 */
final class SliceExchange {
    /** The fraction of the difference in augmented shares to transfer; with two neighbors its upper bound is 1/4. */
    private static final double TRANSFER_GAIN = 0.25;

    private static final int MIN_SEARCH_DISTANCE = 2;
    /** A peer whose last message is older takes no part in transfers. */
    private static final long MAX_MESSAGE_AGE_NANOS = 5 * SchedulerTimings.SHARE_INTERVAL_NANOS / 2;

    private final SchedulerSettings settings;
    private final SchedulerClock clock;
    private final CapacitySlice slice;
    private final SliceMessenger messenger;
    private final SliceInheritance inheritance;
    private final Map<Integer, PeerState> peers = new LinkedHashMap<>();
    /** How many ranks away on the ring peers with binding slices are searched for. */
    private int searchDistance = MIN_SEARCH_DISTANCE;

    SliceExchange(
            SchedulerContext context, CapacitySlice slice, SliceMessenger messenger, SliceInheritance inheritance) {
        this.settings = context.settings();
        this.clock = context.clock();
        this.slice = slice;
        this.messenger = messenger;
        this.inheritance = inheritance;
    }

    /** Slots debited from the slice whose transfer is not yet acknowledged. */
    double pendingAmount() {
        return peers.values().stream().mapToDouble(PeerState::pendingAmount).sum();
    }

    /** Slots inherited and not yet returned. */
    double inheritedAmount() {
        return peers.values().stream().mapToDouble(PeerState::inheritedAmount).sum();
    }

    /** Ends an interval: sends state to the successor, checks the predecessor, transfers down to {@code minRate}. */
    void closeInterval(double minRate) {
        int fleetSize = settings.fleetSize();
        int successor = (settings.rank() + 1) % fleetSize;
        int predecessor = Math.floorMod(settings.rank() - 1, fleetSize);
        messenger.sendState(successor);
        inheritance.checkPredecessor(predecessor, peers.get(predecessor));
        if (!slice.isBinding()) {
            searchDistance = MIN_SEARCH_DISTANCE;
            return;
        }
        int nextBindingRank = exchangeInDirection(1, successor, -1, minRate);
        int previousBindingRank = exchangeInDirection(-1, successor, nextBindingRank, minRate);
        if (nextBindingRank < 0 && previousBindingRank < 0) {
            searchDistance = searchDistance >= fleetSize / 2 ? MIN_SEARCH_DISTANCE : 2 * searchDistance;
        }
    }

    /**
     * Transfers to the nearest peer with a binding slice in one direction and returns its rank, or
     * {@code alreadyFound} if there is none. Sends state to the peers up to that one, except to the successor and
     * {@code alreadyFound}, which already have it.
     */
    private int exchangeInDirection(int direction, int successor, int alreadyFound, double minRate) {
        int fleetSize = settings.fleetSize();
        for (int distance = 1; distance <= Math.min(searchDistance, fleetSize / 2); distance++) {
            int rank = Math.floorMod(settings.rank() + direction * distance, fleetSize);
            if (rank != successor && rank != alreadyFound) {
                messenger.sendState(rank);
            }
            PeerState peer = peers.get(rank);
            if (peer != null && peer.isBinding() && peer.timeSinceMessage(clock.now()) <= MAX_MESSAGE_AGE_NANOS) {
                if (rank != alreadyFound) {
                    transferTo(rank, peer, minRate);
                }
                return rank;
            }
        }
        return alreadyFound;
    }

    /** Transfers capacity to a peer whose augmented share is lower. */
    private void transferTo(int rank, PeerState peer, double minRate) {
        double amount =
                Math.min(TRANSFER_GAIN * (slice.augmentedShare() - peer.augmentedShare()), slice.rate() - minRate);
        if (amount > 0 && !peer.hasPendingTransfer()) {
            slice.debit(amount);
            peer.beginTransfer(amount);
            messenger.sendTransfer(rank, peer);
        }
    }

    /** Resends all unacknowledged transfers. */
    void resendPending() {
        peers.forEach((rank, peer) -> {
            if (peer.hasPendingTransfer()) {
                messenger.sendTransfer(rank, peer);
            }
        });
    }

    /** Handles a message from a peer; the caller has checked the rank. */
    void receive(int rank, PeerMessage message) {
        PeerState peer = peers.computeIfAbsent(rank, r -> new PeerState());
        peer.recordMessage(message, clock.now());
        inheritance.returnSlice(peer);
        boolean isForThisIncarnation = message.peerIncarnation() == messenger.incarnation();
        switch (message.type()) {
            case STATE -> peer.recordState(message.augmentedShare(), message.amount());
            case STATE_REQUEST -> messenger.sendState(rank);
            case ACK -> {
                if (isForThisIncarnation) {
                    peer.acknowledgeTransfer(message.transferNumber());
                }
            }
            case TRANSFER -> {
                if (isForThisIncarnation) {
                    // A duplicate, resent or late from an earlier incarnation, must not be credited again.
                    slice.credit(peer.recordTransfer(message) ? message.amount() : 0);
                    messenger.acknowledge(rank, message);
                }
            }
        }
    }
}
