package nettlewick.decision;

import java.util.SplittableRandom;
import nettlewick.decision.Action.SetTimer;

/** Runs the periodic work of the decision module in a fixed order. */
final class SchedulerTick {
    /** The name of the tick timer. */
    static final String TIMER = "beat";

    /** A request with no attempt in flight is ended this long before its deadline. */
    private static final long DEADLINE_MARGIN_NANOS = 2 * SchedulerTimings.TICK_NANOS;

    private final SchedulerClock clock;
    private final SplittableRandom random;
    private final ActionBatch actions;
    private final RequestTable table;
    private final RequestCompletion completion;
    private final EndpointListSubscription subscription;
    private final EndpointDirectory directory;
    private final PeerLoadExchange loads;
    private final CapacityEstimator capacity;
    private final AttemptMonitor monitor;
    private final SliceController sliceController;
    private final ProbePool probePool;
    private final SliceExchange exchange;

    SchedulerTick(
            SchedulerContext context,
            RequestTable table,
            RequestCompletion completion,
            EndpointListSubscription subscription,
            EndpointDirectory directory,
            PeerLoadExchange loads,
            CapacityEstimator capacity,
            AttemptMonitor monitor,
            SliceController sliceController,
            ProbePool probePool,
            SliceExchange exchange) {
        this.clock = context.clock();
        this.random = context.random();
        this.actions = context.actions();
        this.table = table;
        this.completion = completion;
        this.subscription = subscription;
        this.directory = directory;
        this.loads = loads;
        this.capacity = capacity;
        this.monitor = monitor;
        this.sliceController = sliceController;
        this.probePool = probePool;
        this.exchange = exchange;
    }

    /** Schedules the first tick at a random phase. */
    void start() {
        actions.add(new SetTimer(TIMER, 1 + random.nextLong(SchedulerTimings.TICK_NANOS)));
    }

    /** Runs one tick and schedules the next. */
    void run() {
        actions.add(new SetTimer(TIMER, SchedulerTimings.TICK_NANOS));
        subscription.tick();
        endExpiredRequests();
        loads.expireGossip();
        capacity.tick(directory.all());
        monitor.tick();
        sliceController.tick();
        probePool.probeDue();
        exchange.resendPending();
        loads.tick();
    }

    /** Ends requests near their deadline with no attempt in flight, which no outcome would end. */
    private void endExpiredRequests() {
        for (ScheduledRequest request : table.unanswered()) {
            if (!request.isAnswered()
                    && !request.isStreaming()
                    && request.inFlightAttempts() == 0
                    && clock.now() + DEADLINE_MARGIN_NANOS >= request.deadline()) {
                completion.rejectOrFail(request);
            }
        }
        table.dropAnswered();
    }
}
