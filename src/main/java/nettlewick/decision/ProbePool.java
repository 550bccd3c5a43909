package nettlewick.decision;

import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.Action.Probe;

/** Selects the endpoints that this dispatcher probes, and probes them at a bounded rate. */
final class ProbePool {
    /** Minimum number of endpoints of the own zone in a pool. */
    static final int MIN_SIZE = 8;

    /** Lower minimum with load aggregation, where fewer endpoints suffice and cost fewer messages. */
    private static final int MIN_SIZE_AGGREGATED = 5;

    private static final int MAX_SIZE = 24;
    /** Pool size as a multiple of this dispatcher's share of the endpoints. */
    private static final double SIZE_PER_SHARE = 1.5;
    /** Pool size as a multiple of the endpoints that its own traffic keeps busy. */
    private static final double SIZE_PER_BUSY_ENDPOINT = 2.5;

    private static final double PROBES_PER_ARRIVAL = 3;
    private static final double PROBES_PER_TICK =
            (double) SchedulerTimings.TICK_NANOS / SchedulerTimings.SHARE_INTERVAL_NANOS;
    /** An endpoint whose last report is younger than this is not probed. */
    private static final long MIN_REPORT_AGE_NANOS = SchedulerTimings.SHARE_INTERVAL_NANOS / 4;

    private final SchedulerSettings settings;
    private final SchedulerClock clock;
    private final ActionBatch actions;
    private final EndpointPools pools;
    private final ServiceRates rates;
    private final int minSize;
    private List<Endpoint> probed = List.of();
    private double tokens = MIN_SIZE;
    private int cursor;

    ProbePool(SchedulerContext context, EndpointPools pools, ServiceRates rates, boolean isLoadAggregated) {
        this.settings = context.settings();
        this.clock = context.clock();
        this.actions = context.actions();
        this.pools = pools;
        this.rates = rates;
        minSize = isLoadAggregated ? MIN_SIZE_AGGREGATED : MIN_SIZE;
    }

    /**
     * Reselects the probed endpoints of all pools. Called when the list changes and in each share interval, since pool
     * sizes follow the traffic.
     */
    void reselect() {
        pools.all().forEach(this::reselect);
        probed = pools.all().stream()
                .flatMap(pool -> pool.probed().stream())
                .distinct()
                .toList();
    }

    /** Selects endpoints of the own zone, and two thirds as many of other zones, or more if the own zone is small. */
    private void reselect(EndpointPool pool) {
        int size = size(pool);
        List<Endpoint> selected = new ArrayList<>();
        addConsecutive(pool.local(), size, selected);
        int remote = pool.local().isEmpty()
                ? size
                : (2 * size + 2) / 3 + Math.max(0, size - pool.local().size());
        addConsecutive(pool.remote(), remote, selected);
        pool.setProbed(selected);
    }

    private int size(EndpointPool pool) {
        double share = (double) pool.local().size() * pool.zoneCount() / settings.fleetSize();
        double busy = SIZE_PER_BUSY_ENDPOINT
                * rates.grossAcceptedRate()
                / Math.max(1, pool.stats().maxFreeSlots());
        double wanted = Math.max(minSize, Math.max(busy, SIZE_PER_SHARE * share));
        return (int) Math.ceil(Math.min(MAX_SIZE, wanted));
    }

    /** Adds consecutive endpoints from a start that depends on the rank, so that dispatchers probe different ones. */
    private void addConsecutive(List<Endpoint> from, int size, List<Endpoint> to) {
        int start = (int) (ProbePoolNeighbors.ringPosition(settings.rank()) * from.size());
        for (int i = 0; i < Math.min(size, from.size()); i++) {
            to.add(from.get((start + i) % from.size()));
        }
    }

    /** The distinct probed endpoints of all pools. */
    List<Endpoint> probed() {
        return probed;
    }

    /** Adds probe tokens for an arrival. */
    void recordArrival() {
        tokens += PROBES_PER_ARRIVAL;
    }

    /** On each tick, probes in turn the endpoints whose last report is old enough, as tokens permit. */
    void probeDue() {
        if (!settings.limits().allowsProbes() || probed.isEmpty()) {
            return;
        }
        tokens = Math.min(tokens + PROBES_PER_TICK, probed.size());
        int allowed = (int)
                Math.ceil(2.0 * probed.size() * SchedulerTimings.TICK_NANOS / SchedulerTimings.SHARE_INTERVAL_NANOS);
        for (int i = 0; i < probed.size() && allowed > 0 && tokens >= 1; i++) {
            Endpoint endpoint = probed.get(cursor++ % probed.size());
            if (endpoint.isReady() && isProbeDue(endpoint, MIN_REPORT_AGE_NANOS)) {
                allowed--;
                probe(endpoint);
            }
        }
    }

    private boolean isProbeDue(Endpoint endpoint, long minAgeNanos) {
        return !endpoint.capacity().isProbePending()
                && clock.now() - endpoint.capacity().reportedAt() >= minAgeNanos;
    }

    /** Probes the endpoints whose report is older than half a share interval; returns whether there are any. */
    boolean probeStale(List<Endpoint> endpoints) {
        boolean isAnyStale = false;
        for (Endpoint endpoint : endpoints) {
            if (settings.limits().allowsProbes()
                    && endpoint.isReady()
                    && isProbeDue(endpoint, SchedulerTimings.SHARE_INTERVAL_NANOS / 2 + 1)) {
                probe(endpoint);
                isAnyStale = true;
            }
        }
        return isAnyStale;
    }

    private void probe(Endpoint endpoint) {
        endpoint.capacity().setProbePending(true);
        tokens--;
        actions.add(new Probe(endpoint.id()));
    }
}
