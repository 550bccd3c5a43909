package nettlewick.decision;

import java.util.HashMap;
import java.util.Map;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.Event.Arrival;

/** Takes arriving requests in: looks for their endpoints' reports first where needed, then admits or rejects. */
final class ArrivalHandler {
    /** The timer on which requests that were held back are admitted. */
    static final String HOLD_TIMER = "hold";

    /** Time given to the probes of a key's home endpoints. */
    private static final long HOLD_NANOS = SchedulerTimings.TICK_NANOS / 8;
    /** A request with less time left than this is not held back. */
    private static final long MIN_REMAINING_NANOS = 4 * SchedulerTimings.TICK_NANOS;

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

    /** Takes a request in; one whose id is known already is passed over. */
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
        record(request);
        if (request.hasKey() && arrival.remainingNanos() > MIN_REMAINING_NANOS && probeHomeEndpoints(request)) {
            actions.add(new SetTimer(HOLD_TIMER, HOLD_NANOS));
            table.hold(request);
        } else {
            admit(request);
        }
    }

    private void record(ScheduledRequest request) {
        statistics.recordArrival(request);
        rates.recordArrival();
        probePool.recordArrival();
        table.add(request);
        // A rejected request that comes again would count twice in its tenant's demand.
        if (!request.arrival().isClientRetry()) {
            request.tenantCredit().recordOffered(request.cost());
        }
    }

    /** Probes the home endpoints whose report is old; true if there is an answer to wait for. */
    private boolean probeHomeEndpoints(ScheduledRequest request) {
        return probePool.probeStale(KeyAffinity.preferredEndpoints(request, pools.candidates(request)));
    }

    /** On {@link #HOLD_TIMER}: admits the requests that have been held back for long enough. */
    void admitHeld() {
        for (ScheduledRequest request : table.releaseHeld(clock.now() - HOLD_NANOS)) {
            if (!request.isAnswered()) {
                admit(request);
            }
        }
    }

    private void admit(ScheduledRequest request) {
        admission.dealCredit();
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
            completion.giveUp(request);
        }
    }

    /** Where no room was seen: whether the request is shed at once in place of waiting at {@code endpoint}. */
    private boolean mustShed(ScheduledRequest request, Endpoint endpoint) {
        return pools.isConfined(request)
                || admission.isOverQuota(request)
                || endpoint != null && latency.wouldMissObjective(request, endpoint);
    }
}
