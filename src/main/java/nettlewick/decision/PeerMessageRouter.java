package nettlewick.decision;

/** Hands each peer message to the part that it is for, and counts those that nobody reads. */
final class PeerMessageRouter {
    private final SchedulerSettings settings;
    private final PeerFaultCounters faults;
    private final PeerLoadExchange loads;
    private final SliceExchange exchange;

    PeerMessageRouter(
            SchedulerSettings settings, PeerFaultCounters faults, PeerLoadExchange loads, SliceExchange exchange) {
        this.settings = settings;
        this.faults = faults;
        this.loads = loads;
        this.exchange = exchange;
    }

    /** Takes a datagram; anybody may send some to the peers' port. */
    void receive(int rank, byte[] data) {
        PeerMessage message = PeerMessage.decode(data);
        if (message == null && !LoadGossip.isLoadGossip(data) && !AggregationMessage.isAggregationMessage(data)) {
            faults.countDamaged();
            return;
        }
        boolean isFromPeer = rank >= 0 && rank < settings.fleetSize() && rank != settings.rank() && loads.hasPeers();
        if (isFromPeer && !loads.receive(rank, data) && message != null) {
            exchange.receive(rank, message);
        }
    }
}
