package nettlewick.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.ProbeAnswer;

/** Which workers a dispatcher knows, watches and asks, and what it believes of their room. */
abstract class Pools extends EventLoop {
    /** Δ: the interval of fair shares and transfers, and the age to which a probe answer is believed. */
    static final long DELTA = 1_000_000_000;
    /** The one timer: deadlines, health, probes and resends are looked at this often. */
    static final long BEAT = DELTA / 10;
    /** A load report may be this much older than its answer: own sends within it are not seen in it yet. */
    static final long REPORT_LAG = DELTA / 2;
    /** Workers of the own zone in the pool: at least so many, and so many times this dispatcher's part. */
    static final int POOL_LEAST = 8;
    /** Where owners tell what all hold there, fewer are as good, and each more is told to one more. */
    static final int POOL_TOLD = 5;

    static final double POOL_PARTS = 1.5;
    static final int POOL_MOST = 24;
    /** And so many times the workers that its own traffic keeps busy. */
    static final double POOL_BUSY = 2.5;
    /** Slots by which a report's noise may be taken for work. */
    static final double NOISE = 0.3;

    static final int RING_PLACES = 20;

    final SchedulerSettings settings;
    final SplittableRandom random;
    final int epoch;
    final Map<String, Endpoint> workers = new LinkedHashMap<>();
    final List<EndpointPool> pools = new ArrayList<>();
    List<Endpoint> watched = List.of();
    final SharedLoads loads;
    /** Danger: notes to all grow with the square of the tier. Past a small one, tallies at owners serve. */
    final LoadAggregator tally;

    final SlowStartBudget coldStart;
    final OutlierDetector outliers = new OutlierDetector(() -> pools.get(0).ready);
    long subscribeAt = Long.MAX_VALUE;
    final RunningMean meanCost = new RunningMean();
    final LargestRequest most = new LargestRequest();
    /** Work accepted, lost after that and served in this Δ, and the rates of them over the last ones. */
    double accepted, lost, served;

    double acceptedRate, triedRate, servedRate;
    double probeTokens = POOL_LEAST;
    int beats, probeCursor;

    Pools(SchedulerSettings settings, long seed) {
        this.settings = settings;
        coldStart = new SlowStartBudget(settings.rules(), settings.fleetSize());
        random = new SplittableRandom(seed);
        epoch = random.nextInt();
        loads = new SharedLoads(faults);
        int size = settings.fleetSize();
        tally = size > LoadAggregator.MAX_DIRECT_GOSSIP_DISPATCHERS
                ? new LoadAggregator(settings.rank(), size, faults)
                : null;
        for (int kind = -1; kind < settings.kinds().size(); kind++) {
            pools.add(new EndpointPool(kind));
        }
    }

    @Override
    void learn(EndpointList list) {
        if (list.whole()) {
            workers.values().forEach(endpoint -> endpoint.isReady = false);
        }
        for (EndpointEntry entry : list.entries()) {
            Endpoint endpoint = workers.computeIfAbsent(entry.id(), Endpoint::new);
            if (endpoint.entry == null || entry.startedAt() != endpoint.entry.startedAt()) {
                endpoint.resetAfterRestart();
                endpoint.slowStartCreditAt = now;
                double debt = random.nextDouble() * SlowStartBudget.maxInitialDebt(meanCost.value);
                endpoint.slowStartCredit = registry.isReenabled(endpoint.id) ? Double.MIN_NORMAL : -debt;
            }
            endpoint.entry = entry;
            endpoint.kind = settings.kinds().indexOf(entry.kind());
            endpoint.isLocal = settings.zone() == null || settings.zone().equals(entry.zone());
            // Danger: work sent to a worker that drains. It leaves every pool at once, with no grace used.
            endpoint.isReady = entry.state() == EndpointState.READY;
        }
        sort(workers.values(), pools, RING_PLACES);
        fill();
        loads.replaceEndpoints(workers.values().stream()
                .filter(endpoint -> registry.isDiscoveredReady(endpoint.id))
                .toList());
        if (tally != null) {
            tally.replaceEndpoints(loads.byMark());
        }
    }

    @Override
    void after() {
        if (tally != null && hasPeers()) {
            tally.drainMessages(now, workers.values(), watched)
                    .forEach((rank, notes) -> notes.forEach(n -> act(new SendToPeer(rank, n))));
        }
    }

    /** On news of the list, and every Δ, since the pools go by this dispatcher's traffic too. */
    void fill() {
        all(pools).forEach(this::fill);
        watched = all(pools).stream()
                .flatMap(pool -> pool.probed.stream())
                .distinct()
                .toList();
    }

    @Override
    boolean avoided(String id) {
        Endpoint endpoint = workers.get(id);
        return endpoint == null || !endpoint.isReady || now < endpoint.ejectedUntil;
    }

    @Override
    void listFailed() {
        subscribeAt = now + DELTA / 2 + random.nextLong(DELTA);
    }

    /** Draws the pool anew: a stretch of the own zone, and two thirds as many of the other zones. */
    void fill(EndpointPool pool) {
        double part = (double) pool.local.size() * pool.zoneCount / settings.fleetSize();
        // Danger: a busy dispatcher fills a pool made for a mean one by itself, while half the fleet is idle.
        double own = POOL_BUSY * triedRate / Math.max(1, pool.mostFreeSlots);
        double least = tally == null ? POOL_LEAST : POOL_TOLD;
        double wanted = Math.max(least, Math.max(own, POOL_PARTS * part));
        int size = (int) Math.ceil(Math.min(POOL_MOST, wanted));
        pool.probed = new ArrayList<>();
        stretch(pool.local, size, pool.probed);
        // Danger: a small zone leaves the pool small, and machines that nobody watches idle through a jam.
        int more = pool.local.isEmpty() ? size : (2 * size + 2) / 3 + Math.max(0, size - pool.local.size());
        stretch(pool.remote, more, pool.probed);
    }

    /** Danger: alike pools herd dispatchers. Each begins at its own place, spread by the golden ratio. */
    void stretch(List<Endpoint> from, int size, List<Endpoint> to) {
        int start = (int) (ProbePoolNeighbors.ringPosition(settings.rank()) * from.size());
        for (int i = 0; i < Math.min(size, from.size()); i++) {
            to.add(from.get((start + i) % from.size()));
        }
    }

    /** Every Δ: what a warm worker of each kind carries for this dispatcher, by the jobs that it finished. */
    void measureCarry() {
        for (EndpointPool pool : pools) {
            long warm = pool.ready.stream()
                    .filter(endpoint -> !coldStart.isWarmingUp(endpoint, now))
                    .count();
            if (warm > 0) {
                pool.measurements++;
                pool.carriedRate += (pool.servedSlotSeconds * 1e9 / DELTA / warm - pool.carriedRate) / 4;
            }
            pool.servedSlotSeconds = 0;
        }
    }

    void probe() {
        if (!settings.limits().probes() || watched.isEmpty()) {
            return;
        }
        probeTokens = Math.min(probeTokens + (double) BEAT / DELTA, watched.size());
        int each = (int) Math.ceil(2.0 * watched.size() * BEAT / DELTA);
        for (int i = 0; i < watched.size() && each > 0 && probeTokens >= 1; i++) {
            Endpoint endpoint = watched.get(probeCursor++ % watched.size());
            if (!endpoint.probePending && endpoint.isReady && now - endpoint.reportedAt >= DELTA / 4) {
                each--;
                ask(endpoint);
            }
        }
    }

    void ask(Endpoint endpoint) {
        endpoint.probePending = true;
        probeTokens--;
        act(new Probe(endpoint.id));
    }

    @Override
    void probed(ProbeAnswer e) {
        Endpoint endpoint = workers.get(e.endpoint());
        if (endpoint == null) {
            return;
        }
        endpoint.probePending = false;
        if (e.result() == AttemptResult.SERVED) {
            if (e.load() != null) {
                report(endpoint, e.load());
            }
        } else if (e.result() != AttemptResult.OVERLOADED && e.result() != AttemptResult.NOT_SENT) {
            outliers.recordResult(endpoint, e.result(), e.latency(), now);
        }
    }

    void report(Endpoint endpoint, EndpointLoad load) {
        endpoint.applyReport(load, now, pools.get(endpoint.kind + 1), most);
        double left =
                endpoint.freeSlots - endpoint.queuedSlots + endpoint.slotsAtTick(beats - (int) (REPORT_LAG / BEAT));
        // Danger: a report is as old as a job is long. What it says is told apart into what was known to be
        // in work then, which is known better now, and what only it can tell: a queue, or work nobody awaits.
        left = Math.min(left, Math.max(1, pools.get(endpoint.kind + 1).mostFreeSlots));
        endpoint.smoothedFreeSlots = now - endpoint.smoothedAt > DELTA
                ? left
                : endpoint.smoothedFreeSlots + (left - endpoint.smoothedFreeSlots) / 2;
        endpoint.smoothedAt = now;
    }

    /** Slots that others leave: what a smoothed report leaves to all, less what peers hold by their notes. */
    double left(Endpoint endpoint) {
        return endpoint.smoothedFreeSlots - endpoint.peerSlots + NOISE;
    }

    boolean hasPeers() {
        return settings.limits().peers() && settings.fleetSize() > 1;
    }
}
