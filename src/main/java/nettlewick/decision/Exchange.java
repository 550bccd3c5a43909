package nettlewick.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.PeerMessage.Type;

/** The ring of binding dispatchers: conserved transfers of the slice, and best friends that inherit. */
abstract class Exchange extends Pools {
    /** α of the augmented share; the transfer gain η keeps the bound 1/(2αd) for d = 2 neighbours. */
    static final double ALPHA = 1;

    static final double ETA = 1 / (4 * ALPHA);
    /** A friend asks after this many silent Δ and inherits after twice as many. */
    static final int FRIEND_PATIENCE = 3;

    final Map<Integer, PeerState> peers = new LinkedHashMap<>();
    int reach = 2;
    double slice;
    double augmented;
    boolean binding;

    Exchange(SchedulerSettings settings, long seed) {
        super(settings, seed);
    }

    /** For tests: the slice, and what was debited from it, or inherited, and is not settled yet. */
    double slice() {
        return slice;
    }

    double pendingTransfers() {
        return peers.values().stream().mapToDouble(p -> p.pendingAmount).sum();
    }

    double inheritedSlice() {
        return peers.values().stream().mapToDouble(p -> p.inheritedAmount).sum();
    }

    void exchange(double floor) {
        if (!hasPeers()) {
            return;
        }
        int n = settings.fleetSize();
        int next = (settings.rank() + 1) % n;
        tell(next, Type.STATE, 0, 0, slice);
        mourn(Math.floorMod(settings.rank() - 1, n));
        if (!binding) {
            reach = 2;
            return;
        }
        boolean alone = true;
        int last = -1;
        for (int way = 1; way >= -1; way -= 2) {
            for (int d = 1; d <= Math.min(reach, n / 2); d++) {
                int rank = Math.floorMod(settings.rank() + way * d, n);
                if (rank != next && rank != last) {
                    tell(rank, Type.STATE, 0, 0, slice);
                }
                PeerState p = peers.get(rank);
                if (p != null && p.binding && now - p.heardAt <= 5 * DELTA / 2) {
                    alone = false;
                    if (rank != last) {
                        give(rank, p, floor);
                    }
                    last = rank;
                    break;
                }
            }
        }
        reach = alone ? (reach >= n / 2 ? 2 : 2 * reach) : reach;
    }

    /** The end with the higher augmented share gives. It debits at once, so that no loss lifts the sum. */
    void give(int rank, PeerState p, double floor) {
        double amount = Math.min(ETA * (augmented - p.augmentedShare), slice - floor);
        if (amount > 0 && p.pendingAmount == 0) {
            slice -= amount;
            p.pendingAmount = amount;
            p.transfersSent++;
            tell(rank, Type.TRANSFER, p.incarnation, p.transfersSent, amount);
        }
    }

    void resend() {
        peers.forEach((rank, p) -> {
            if (p.pendingAmount > 0) {
                tell(rank, Type.TRANSFER, p.incarnation, p.transfersSent, p.pendingAmount);
            }
        });
    }

    /** Best friend: the ring's next inherits a binding slice after several silent Δ. */
    void mourn(int rank) {
        PeerState p = peers.get(rank);
        if (p == null || !p.binding || p.inheritedAmount > 0 || now - p.heardAt <= FRIEND_PATIENCE * DELTA) {
            return;
        }
        // Danger: lost messages taken for a crash push the slices past the cap. So it is asked first, and a
        // friend that turns out to live gets its slice back (see hear).
        if (now - p.heardAt <= 2 * FRIEND_PATIENCE * DELTA) {
            tell(rank, Type.STATE_REQUEST, 0, 0, 0);
        } else if (binding) {
            p.inheritedAmount = p.slice;
            slice += p.slice;
        } else {
            p.binding = false;
        }
    }

    void tell(int rank, Type what, int peerEpoch, int number, double amount) {
        act(new SendToPeer(rank, new PeerMessage(what, binding, epoch, peerEpoch, number, augmented, amount).encode()));
    }

    @Override
    void hear(int rank, byte[] data) {
        PeerMessage note = PeerMessage.decode(data);
        if (rank < 0
                || rank >= settings.fleetSize()
                || rank == settings.rank()
                || !hasPeers()
                || loads.receive(rank, data, now)
                || tally != null && tally.receive(rank, data, now)
                || note == null) {
            return;
        }
        PeerState p = peers.computeIfAbsent(rank, r -> new PeerState());
        if (note.incarnation() != p.incarnation) {
            // Another life: a gift under way to the former one is lost with it, never given twice.
            p.incarnation = note.incarnation();
            p.pendingAmount = 0;
            p.inheritedAmount = 0;
        }
        p.heardAt = now;
        p.binding = note.binding();
        slice = Math.max(0, slice - p.inheritedAmount);
        p.inheritedAmount = 0;
        switch (note.type()) {
            case STATE -> {
                p.augmentedShare = note.augmentedShare();
                p.slice = note.amount();
            }
            case STATE_REQUEST -> tell(rank, Type.STATE, 0, 0, slice);
            case ACK -> {
                if (note.peerIncarnation() == epoch && note.number() == p.transfersSent) {
                    p.pendingAmount = 0;
                }
            }
            case TRANSFER -> {
                if (note.peerIncarnation() == epoch) {
                    // Danger: a gift credited twice, when resent, or when an old life's copy comes late.
                    slice += p.recordTransfer(note) ? note.amount() : 0;
                    tell(rank, Type.ACK, note.incarnation(), note.number(), 0);
                }
            }
        }
    }
}
