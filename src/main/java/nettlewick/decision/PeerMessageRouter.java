package nettlewick.decision;

/** Routes peer messages to their handlers and counts those that cannot be decoded. */
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

    /** Handles a datagram. Any host can send datagrams to the peer port, so the rank is checked. */
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
