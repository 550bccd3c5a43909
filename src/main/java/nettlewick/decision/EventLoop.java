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
import nettlewick.decision.State.Endpoint;
import nettlewick.decision.State.Pool;
import nettlewick.decision.State.ScheduledRequest;

/** Takes a batch apart for the decision module and gathers its actions. Decides nothing. */
abstract class EventLoop implements Dispatcher {
    /** The clock of the batch; it never goes back, whatever the host says. */
    protected long now;

    protected final EndpointRegistry roll = new EndpointRegistry();
    protected final PeerFaultCounters heard = new PeerFaultCounters();
    /** Which workers tenants have of their own; null, and no class of it loaded, where none has any. */
    private DedicatedEndpoints kept;

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
                learn(roll.heed(e));
            } else if (event instanceof EndpointAdminChange e) {
                learn(roll.heed(e));
            } else if (event instanceof EndpointListFailed) {
                listFailed();
            } else if (event instanceof Abandoned e) {
                abandon(e.id());
            } else if (event instanceof StreamStarted e) {
                streamBegan(e);
            } else if (event instanceof PoolsAssigned e) {
                kept = e.assignments().isEmpty() ? null : new DedicatedEndpoints(e.assignments());
                learn(new EndpointList(false, List.of()));
            }
        }
        after();
        return actions;
    }

    /** Danger: anybody may send bytes to the peers' port. What no version here reads is counted only. */
    private void peer(PeerMessageReceived e) {
        if (LoadGossip.is(e.data()) || LoadAggregator.is(e.data()) || PeerMessage.of(e.data()) != null) {
            hear(e.rank(), e.data());
        } else {
            heard.damaged++;
        }
    }

    @Override
    public final PeerMessageFaults peerMessageFaults() {
        return heard.counts();
    }

    @Override
    public final EndpointCounts endpointCounts() {
        return roll.count(this::avoided);
    }

    /** Sorts the workers out: which are for all, and which for one tenant. */
    final void sort(Collection<Endpoint> endpoints, List<Pool> pools, int ringPlaces) {
        Collection<Endpoint> common = kept == null ? endpoints : kept.common(endpoints);
        pools.forEach(pool -> pool.refill(common, ringPlaces));
        if (kept != null) {
            kept.refill(endpoints, pools, ringPlaces);
        }
    }

    /** These pools, and those of tenants with workers of their own. */
    final List<Pool> all(List<Pool> pools) {
        return kept == null ? pools : kept.with(pools);
    }

    /** Where a job of this tenant may go, of the workers that its kind leaves. */
    final Pool candidates(ScheduledRequest request, Pool common) {
        return kept == null ? common : kept.pool(request.arrival.tenant(), common);
    }

    /** Whether the job has its tenant's own workers alone: where these are full, no other has room. */
    final boolean apart(ScheduledRequest request) {
        return kept != null && kept.apart(request.arrival.tenant());
    }

    /** Those of them that are for all. */
    final Collection<Endpoint> shared(Collection<Endpoint> endpoints) {
        return kept == null ? endpoints : kept.common(endpoints);
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
