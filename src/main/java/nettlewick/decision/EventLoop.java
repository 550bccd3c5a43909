package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import nettlewick.decision.Event.Abandoned;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointAdminChange;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.EndpointListFailed;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.PeerMessageReceived;
import nettlewick.decision.Event.PoolsAssigned;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.StreamStarted;
import nettlewick.decision.Event.Timer;

/** Takes a batch apart for the decision module and gathers its actions. Decides nothing. */
abstract class EventLoop implements Dispatcher {
    /** The clock of the batch; it never goes back, whatever the host says. */
    protected long now;

    protected final EndpointRegistry registry = new EndpointRegistry();
    protected final PeerFaultCounters faults = new PeerFaultCounters();
    /** Which workers tenants have of their own; null, and no class of it loaded, where none has any. */
    private DedicatedEndpoints dedicated;

    private List<Action> actions = new ArrayList<>();
    private boolean started;

    @Override
    public final List<Action> handle(long time, List<Event> events) {
        now = started ? Math.max(now, time) : time;
        actions = new ArrayList<>();
        if (!started) {
            started = true;
            start();
        }
        for (Event event : events) {
            if (event instanceof Arrival e) {
                arrive(e);
            } else if (event instanceof Outcome e) {
                end(e);
            } else if (event instanceof ProbeAnswer e) {
                probed(e);
            } else if (event instanceof Timer e) {
                due(e.name());
            } else if (event instanceof Progress e) {
                progress(e);
            } else if (event instanceof PeerMessageReceived e) {
                peer(e);
            } else if (event instanceof EndpointList e) {
                learn(registry.apply(e));
            } else if (event instanceof EndpointAdminChange e) {
                learn(registry.apply(e));
            } else if (event instanceof EndpointListFailed) {
                listFailed();
            } else if (event instanceof Abandoned e) {
                abandon(e.id());
            } else if (event instanceof StreamStarted e) {
                streamBegan(e);
            } else if (event instanceof PoolsAssigned e) {
                dedicated = e.assignments().isEmpty() ? null : new DedicatedEndpoints(e.assignments());
                learn(new EndpointList(false, List.of()));
            }
        }
        after();
        return actions;
    }

    /** Danger: anybody may send bytes to the peers' port. What no version here reads is counted only. */
    private void peer(PeerMessageReceived e) {
        if (LoadGossip.isLoadGossip(e.data())
                || LoadAggregator.isAggregationMessage(e.data())
                || PeerMessage.decode(e.data()) != null) {
            hear(e.rank(), e.data());
        } else {
            faults.damaged++;
        }
    }

    @Override
    public final PeerMessageFaults peerMessageFaults() {
        return faults.counts();
    }

    @Override
    public final EndpointCounts endpointCounts() {
        return registry.count(this::avoided);
    }

    /** Sorts the workers out: which are for all, and which for one tenant. */
    final void sort(Collection<Endpoint> endpoints, List<EndpointPool> pools, int ringPlaces) {
        Collection<Endpoint> common = dedicated == null ? endpoints : dedicated.withoutExclusive(endpoints);
        pools.forEach(pool -> pool.refill(common, ringPlaces));
        if (dedicated != null) {
            dedicated.refill(endpoints, pools, ringPlaces);
        }
    }

    /** These pools, and those of tenants with workers of their own. */
    final List<EndpointPool> all(List<EndpointPool> pools) {
        return dedicated == null ? pools : dedicated.appendTo(pools);
    }

    /** Where a job of this tenant may go, of the workers that its kind leaves. */
    final EndpointPool candidates(ScheduledRequest request, EndpointPool common) {
        return dedicated == null ? common : dedicated.poolFor(request.arrival.tenant(), common);
    }

    /** Whether the job has its tenant's own workers alone: where these are full, no other has room. */
    final boolean apart(ScheduledRequest request) {
        return dedicated != null && dedicated.isConfined(request.arrival.tenant());
    }

    /** Those of them that are for all. */
    final Collection<Endpoint> shared(Collection<Endpoint> endpoints) {
        return dedicated == null ? endpoints : dedicated.withoutExclusive(endpoints);
    }

    /** Whether a worker of the list gets no job now. */
    abstract boolean avoided(String endpoint);

    protected final void act(Action action) {
        actions.add(action);
    }

    abstract void start();

    /** At the end of each batch, once all its events are taken in. */
    abstract void after();

    abstract void learn(EndpointList list);

    abstract void listFailed();

    abstract void arrive(Arrival arrival);

    abstract void end(Outcome outcome);

    abstract void streamBegan(StreamStarted event);

    abstract void abandon(String id);

    abstract void progress(Progress event);

    abstract void probed(ProbeAnswer answer);

    abstract void hear(int rank, byte[] data);

    abstract void due(String timer);
}
