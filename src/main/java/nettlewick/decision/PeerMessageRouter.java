package nettlewick.decision;

/** Hands each peer message to the part that it is for, and counts those that nobody reads. */
final class PeerMessageRouter {
    private final SchedulerContext context;
    private final PeerFaultCounters faults;
    private final PeerLoadExchange loads;
    private final SliceExchange exchange;

    PeerMessageRouter(
            SchedulerContext context, PeerFaultCounters faults, PeerLoadExchange loads, SliceExchange exchange) {
        this.context = context;
        this.faults = faults;
        this.loads = loads;
        this.exchange = exchange;
    }

    /** Takes a datagram; anybody may send some to the peers' port. */
    void receive(int rank, byte[] data) {
        PeerMessage message = PeerMessage.decode(data);
        if (message == null
                && !LoadGossipMessage.isLoadGossip(data)
                && !AggregationMessage.isAggregationMessage(data)) {
            faults.countDamaged();
            return;
        }
        boolean isFromPeer = rank >= 0
                && rank < context.settings().fleetSize()
                && rank != context.settings().rank()
                && context.hasPeers();
        if (isFromPeer && !loads.receive(rank, data) && message != null) {
            exchange.receive(rank, message);
        }
    }
}
