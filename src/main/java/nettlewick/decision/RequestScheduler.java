package nettlewick.decision;

import java.util.List;
import nettlewick.decision.Dispatcher.EndpointCounts;
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

/**
 * The implementation of the decision module: passes each event of a batch to its handler and collects the actions.
 * Capacity is shared by D2R2 from R. Stanojevic, "Fully Decentralized Emulation of Best-Effort and Processor
 * Sharing Queues" (sections 3 and 5), with tenants as flows; docs/design.md lists what is kept and changed.
 */
final class RequestScheduler implements Dispatcher {
    private final SchedulerContext context;
    private final EndpointRegistry registry = new EndpointRegistry();
    private final PeerFaultCounters faults = new PeerFaultCounters();
    private final CapacitySlice slice = new CapacitySlice();
    private final EndpointPools pools;
    private final EndpointDirectory directory;
    private final ProbePool probePool;
    private final PeerLoadExchange loads;
    private final SliceExchange exchange;
    private final SliceController sliceController;
    private final PeerMessageRouter router;
    private final EndpointListSubscription subscription;
    private final ArrivalHandler arrivals;
    private final OutcomeHandler outcomes;
    private final RequestCompletion completion;
    private final SchedulerTick tick;
    private boolean isStarted;

    /** Creates and connects the components; all random numbers derive from {@code seed}. */
    RequestScheduler(SchedulerSettings settings, long seed) {
        context = SchedulerContext.create(settings, seed);
        SchedulerClock clock = context.clock();
        SliceMessenger messenger =
                new SliceMessenger(context.actions(), slice, context.random().nextInt());
        SliceInheritance inheritance = new SliceInheritance(clock, slice, messenger);
        exchange = new SliceExchange(context, slice, messenger, inheritance);
        loads = new PeerLoadExchange(context, faults);
        router = new PeerMessageRouter(context, faults, loads, exchange);
        subscription = new EndpointListSubscription(context);

        RequestStatistics statistics = new RequestStatistics(settings.classes().size());
        ServiceRates rates = new ServiceRates();
        RequestTable table = new RequestTable();
        pools = new EndpointPools(settings.kinds().size());
        directory = new EndpointDirectory(context, registry, statistics);
        probePool = new ProbePool(context, pools, rates, loads.isAggregated());

        SlowStartBudget slowStart = new SlowStartBudget(settings.rules(), settings.fleetSize());
        CapacityEstimator capacity = new CapacityEstimator(context, pools, statistics);
        LatencyEstimator latency = new LatencyEstimator(clock, pools, statistics, capacity);
        EndpointEligibility eligibility = new EndpointEligibility(clock, pools, statistics, slowStart);
        KeyAffinity affinity = new KeyAffinity(clock, capacity, eligibility);
        EndpointSelector selector =
                new EndpointSelector(context, registry, pools, statistics, capacity, latency, eligibility, affinity);

        AdmissionController admission = new AdmissionController(context, statistics, slice);
        sliceController = new SliceController(
                context, pools, probePool, capacity, statistics, rates, slowStart, slice, admission, exchange);

        AttemptSender sender = new AttemptSender(context, statistics, latency, affinity);
        completion = new RequestCompletion(settings.limits(), context.actions(), table, rates, admission);
        RetryPolicy retryPolicy = new RetryPolicy(settings.limits(), clock, pools, latency);
        RequestRetrier retrier = new RequestRetrier(retryPolicy, selector, sender, completion);
        arrivals = new ArrivalHandler(
                context, table, statistics, rates, pools, probePool, admission, selector, latency, sender, completion);
        OutlierDetector outliers = new OutlierDetector(pools::ready);
        outcomes = new OutcomeHandler(
                clock, directory, registry, pools, table, statistics, rates, capacity, outliers, completion, retrier);
        HedgingPolicy hedging = new HedgingPolicy(latency::canStillMeetObjective);
        AttemptMonitor monitor = new AttemptMonitor(context, directory, statistics, outliers, hedging, retrier);
        tick = new SchedulerTick(
                context,
                table,
                completion,
                subscription,
                directory,
                loads,
                capacity,
                monitor,
                sliceController,
                probePool,
                exchange);
    }

    @Override
    public List<Action> handle(long now, List<Event> events) {
        context.clock().advanceTo(now);
        context.actions().begin();
        if (!isStarted) {
            isStarted = true;
            start();
        }
        for (Event event : events) {
            if (!handleRequestEvent(event) && !handleEndpointEvent(event)) {
                handleOtherEvent(event);
            }
        }
        loads.flush(directory.all(), probePool.probed());
        return context.actions().actions();
    }

    private void start() {
        sliceController.start();
        if (context.settings().requestsEndpointList()) {
            subscription.subscribe();
        }
        tick.start();
    }

    private boolean handleRequestEvent(Event event) {
        if (event instanceof Arrival arrival) {
            arrivals.receive(arrival);
        } else if (event instanceof Outcome outcome) {
            outcomes.recordOutcome(outcome);
        } else if (event instanceof Progress progress) {
            outcomes.recordProgress(progress);
        } else if (event instanceof Abandoned abandoned) {
            completion.recordAbandoned(abandoned.id());
        } else if (event instanceof StreamStarted started) {
            completion.recordStreamStarted(started);
        } else {
            return false;
        }
        return true;
    }

    private boolean handleEndpointEvent(Event event) {
        if (event instanceof ProbeAnswer answer) {
            outcomes.recordProbeAnswer(answer);
        } else if (event instanceof EndpointList list) {
            updateEndpoints(registry.apply(list));
        } else if (event instanceof EndpointAdminChange change) {
            updateEndpoints(registry.apply(change));
        } else if (event instanceof EndpointListFailed) {
            subscription.recordFailure();
        } else if (event instanceof PoolsAssigned assigned) {
            pools.assign(assigned.assignments());
            updateEndpoints(new EndpointList(false, List.of()));
        } else {
            return false;
        }
        return true;
    }

    private void handleOtherEvent(Event event) {
        if (event instanceof PeerMessageReceived message) {
            router.receive(message.rank(), message.data());
        } else if (event instanceof Timer timer) {
            if (timer.name().equals(ArrivalHandler.HOLD_TIMER)) {
                arrivals.admitHeld();
            } else {
                tick.run();
            }
        }
    }

    private void updateEndpoints(EndpointList effectiveList) {
        directory.apply(effectiveList);
        pools.rebuild(directory.all());
        probePool.reselect();
        loads.replaceEndpoints(directory.all().stream()
                .filter(endpoint -> registry.isDiscoveredReady(endpoint.id()))
                .toList());
    }

    @Override
    public PeerMessageFaults peerMessageFaults() {
        return faults.counts();
    }

    @Override
    public EndpointCounts endpointCounts() {
        return registry.count(directory::isUnavailable);
    }

    /** The slice in slots; for tests that sum it over all dispatchers. */
    double slice() {
        return slice.rate();
    }

    /** Slots debited from the slice whose transfer is not yet acknowledged; for the same tests. */
    double pendingTransfers() {
        return exchange.pendingAmount();
    }

    /** Slots inherited and not yet returned; for the same tests. */
    double inheritedSlice() {
        return exchange.inheritedAmount();
    }
}
