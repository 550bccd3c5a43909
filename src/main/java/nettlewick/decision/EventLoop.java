package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import nettlewick.decision.State.Job;
import nettlewick.decision.State.Pool;
import nettlewick.decision.State.Worker;

/** Takes a batch apart for the decision module and gathers its actions. Decides nothing. */
abstract class EventLoop implements Dispatcher {
    /** The clock of the batch; it never goes back, whatever the host says. */
    protected long now;

    protected final Roll roll = new Roll();
    protected final Heard heard = new Heard();
    /** Which workers tenants have of their own; null, and no class of it loaded, where none has any. */
    private Kept kept;

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
            } else if (event instanceof PeerMessage e) {
                peer(e);
            } else if (event instanceof WorkerList e) {
                learn(roll.heed(e));
            } else if (event instanceof Ban e) {
                learn(roll.heed(e));
            } else if (event instanceof ListFailed) {
                listFailed();
            } else if (event instanceof Abandoned e) {
                abandon(e.id());
            } else if (event instanceof StreamBegan e) {
                streamBegan(e);
            } else if (event instanceof Assigned e) {
                kept = e.assignments().isEmpty() ? null : new Kept(e.assignments());
                learn(new WorkerList(false, List.of()));
            }
        }
        after();
        return actions;
    }

    /** Danger: anybody may send bytes to the peers' port. What no version here reads is counted only. */
    private void peer(PeerMessage e) {
        if (LoadNote.is(e.data()) || Tally.is(e.data()) || PeerNote.of(e.data()) != null) {
            hear(e.rank(), e.data());
        } else {
            heard.damaged++;
        }
    }

    @Override
    public final PeerFaults peerFaults() {
        return heard.counts();
    }

    @Override
    public final Rotation rotation() {
        return roll.count(this::avoided);
    }

    /** Sorts the workers out: which are for all, and which for one tenant. */
    final void sort(Collection<Worker> workers, List<Pool> pools, int ringPlaces) {
        Collection<Worker> common = kept == null ? workers : kept.common(workers);
        pools.forEach(pool -> pool.refill(common, ringPlaces));
        if (kept != null) {
            kept.refill(workers, pools, ringPlaces);
        }
    }

    /** These pools, and those of tenants with workers of their own. */
    final List<Pool> all(List<Pool> pools) {
        return kept == null ? pools : kept.with(pools);
    }

    /** Where a job of this tenant may go, of the workers that its kind leaves. */
    final Pool candidates(Job job, Pool common) {
        return kept == null ? common : kept.pool(job.arrival.tenant(), common);
    }

    /** Whether the job has its tenant's own workers alone: where these are full, no other has room. */
    final boolean apart(Job job) {
        return kept != null && kept.apart(job.arrival.tenant());
    }

    /** Those of them that are for all. */
    final Collection<Worker> shared(Collection<Worker> workers) {
        return kept == null ? workers : kept.common(workers);
    }

    /** Whether a worker of the list gets no job now. */
    abstract boolean avoided(String worker);

    protected final void act(Action action) {
        actions.add(action);
    }

    abstract void start();

    /** At the end of each batch, once all its events are taken in. */
    abstract void after();

    abstract void learn(WorkerList list);

    abstract void listFailed();

    abstract void arrive(Arrival arrival);

    abstract void end(Outcome outcome);

    abstract void streamBegan(StreamBegan event);

    abstract void abandon(String id);

    abstract void progress(Progress event);

    abstract void probed(ProbeAnswer answer);

    abstract void hear(int rank, byte[] data);

    abstract void due(String timer);
}
