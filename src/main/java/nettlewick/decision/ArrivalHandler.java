package nettlewick.decision;

import java.util.HashMap;
import java.util.Map;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.Event.Arrival;

/** Admits or rejects arriving requests; one with an affinity key may first wait for probes of its home endpoints. */
final class ArrivalHandler {
    /** The timer that admits requests held while their home endpoints are probed. */
    static final String HOLD_TIMER = "hold";

    /** How long a request waits for the probes of its key's home endpoints. */
    private static final long HOLD_NANOS = SchedulerTimings.TICK_NANOS / 8;
    /** A request with less time left than this is not held. */
    private static final long MIN_REMAINING_TO_HOLD_NANOS = 4 * SchedulerTimings.TICK_NANOS;

    private final SchedulerSettings settings;
    private final SchedulerClock clock;
    private final ActionBatch actions;
    private final RequestTable table;
    private final RequestStatistics statistics;
    private final ServiceRates rates;
    private final EndpointPools pools;
    private final ProbePool probePool;
    private final AdmissionController admission;
    private final EndpointSelector selector;
    private final LatencyEstimator latency;
    private final AttemptSender sender;
    private final RequestCompletion completion;
    private final Map<String, Integer> classIndexes = new HashMap<>();

    ArrivalHandler(
            SchedulerContext context,
            RequestTable table,
            RequestStatistics statistics,
            ServiceRates rates,
            EndpointPools pools,
            ProbePool probePool,
            AdmissionController admission,
            EndpointSelector selector,
            LatencyEstimator latency,
            AttemptSender sender,
            RequestCompletion completion) {
        this.settings = context.settings();
        this.clock = context.clock();
        this.actions = context.actions();
        this.table = table;
        this.statistics = statistics;
        this.rates = rates;
        this.pools = pools;
        this.probePool = probePool;
        this.admission = admission;
        this.selector = selector;
        this.latency = latency;
        this.sender = sender;
        this.completion = completion;
        for (int i = 0; i < settings.classes().size(); i++) {
            classIndexes.put(settings.classes().get(i).name(), i);
        }
    }

    /** Handles an arrival; one whose id is already known is ignored. */
    void receive(Arrival arrival) {
        Integer classIndex = classIndexes.get(arrival.requestClass());
        if (classIndex == null) {
            completion.rejectUnknownClass(arrival.id());
            return;
        }
        if (table.find(arrival.id()) != null) {
            return;
        }
        ScheduledRequest request = new ScheduledRequest(
                arrival,
                settings.classes().get(classIndex),
                classIndex,
                admission.creditOf(arrival.tenant()),
                clock.now());
        recordArrival(request);
        if (request.hasKey() && arrival.remainingNanos() > MIN_REMAINING_TO_HOLD_NANOS && probeHomeEndpoints(request)) {
            actions.add(new SetTimer(HOLD_TIMER, HOLD_NANOS));
            table.hold(request);
        } else {
            admit(request);
        }
    }

    private void recordArrival(ScheduledRequest request) {
        statistics.recordArrival(request);
        rates.recordArrival();
        probePool.recordArrival();
        table.add(request);
        // A client's retry of a rejected request would count twice in its tenant's demand.
        if (!request.arrival().isClientRetry()) {
            request.tenantCredit().recordOffered(request.cost());
        }
    }

    /** Probes the home endpoints with stale reports; returns whether a probe is pending. */
    private boolean probeHomeEndpoints(ScheduledRequest request) {
        return probePool.probeStale(KeyAffinity.preferredEndpoints(request, pools.candidates(request)));
    }

    /** Runs on {@link #HOLD_TIMER}: admits the requests that were held for the full wait. */
    void admitHeld() {
        for (ScheduledRequest request : table.releaseHeld(clock.now() - HOLD_NANOS)) {
            if (!request.isAnswered()) {
                admit(request);
            }
        }
    }

    private void admit(ScheduledRequest request) {
        admission.distributeCredit();
        EndpointSelection selection = selector.select(request);
        if (!selection.hasFreeCapacity() && mustShed(request, selection.endpoint())) {
            completion.reject(request);
            return;
        }
        request.tenantCredit().spend(request.cost());
        rates.recordAccepted(request.cost());
        if (selection.endpoint() != null) {
            sender.send(request, selection);
        } else {
            completion.rejectOrFail(request);
        }
    }

    /** Whether to shed a request for which no endpoint has room, rather than queue it at {@code endpoint}. */
    private boolean mustShed(ScheduledRequest request, Endpoint endpoint) {
        return pools.isConfined(request)
                || admission.isOverQuota(request)
                || endpoint != null && latency.wouldMissObjective(request, endpoint);
    }
}
