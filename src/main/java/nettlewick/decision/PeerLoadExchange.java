package nettlewick.decision;

import java.util.Collection;
import java.util.List;
import nettlewick.decision.Action.SendToPeer;

/**
 * Exchanges with peers the slots that each dispatcher has in flight at each endpoint: by gossip among all
 * ({@link LoadGossiper}) in a small tier, by aggregation ({@link LoadAggregator}) in a larger one.
 */
final class PeerLoadExchange {
    private final SchedulerContext context;
    private final SchedulerClock clock;
    private final ActionBatch actions;
    private final LoadGossiper gossip;
    /** Null in a tier small enough for gossip among all dispatchers. */
    private final LoadAggregator aggregator;

    private final int[] gossipRanks;

    PeerLoadExchange(SchedulerContext context, PeerFaultCounters faults) {
        this.context = context;
        SchedulerSettings settings = context.settings();
        this.clock = context.clock();
        this.actions = context.actions();
        gossip = new LoadGossiper(faults);
        int size = settings.fleetSize();
        aggregator = size > LoadAggregator.MAX_DIRECT_GOSSIP_DISPATCHERS
                ? new LoadAggregator(settings.rank(), size, faults)
                : null;
        gossipRanks = ProbePoolNeighbors.neighborsOf(settings.rank(), size, size);
    }

    /** Whether loads are aggregated by owners instead of gossiped. */
    boolean isAggregated() {
        return aggregator != null;
    }

    /** Replaces the endpoints that id hashes in messages refer to: those that discovery lists as ready. */
    void replaceEndpoints(Collection<Endpoint> discoveredReady) {
        gossip.replaceEndpoints(discoveredReady);
        if (aggregator != null) {
            aggregator.replaceEndpoints(gossip.endpointsByIdHash());
        }
    }

    /** Processes a peer's message; returns false if it is not about loads. */
    boolean receive(int rank, byte[] data) {
        return gossip.receive(rank, data, clock.now())
                || aggregator != null && aggregator.receive(rank, data, clock.now());
    }

    /** Drops gossip that has expired. */
    void expireGossip() {
        gossip.expire(clock.now());
    }

    /** On each tick, expires aggregated loads, or sends the gossip that is due. */
    void tick() {
        if (aggregator != null) {
            aggregator.expire(clock.now());
            return;
        }
        if (!context.hasPeers()) {
            return;
        }
        for (byte[] message : gossip.dueMessages(clock.now())) {
            for (int rank : gossipRanks) {
                actions.add(new SendToPeer(rank, message));
            }
        }
    }

    /** At the end of each batch, sends the aggregation messages that are due. */
    void flush(Collection<Endpoint> all, List<Endpoint> probed) {
        if (aggregator != null && context.hasPeers()) {
            aggregator
                    .dueMessages(clock.now(), all, probed)
                    .forEach((rank, messages) ->
                            messages.forEach(message -> actions.add(new SendToPeer(rank, message))));
        }
    }
}
