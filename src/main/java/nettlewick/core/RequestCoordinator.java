package nettlewick.core;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import nettlewick.decision.Action;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.Event.EndpointAdminChange;
import nettlewick.decision.Event.PeerMessageReceived;
import nettlewick.decision.Event.PoolsAssigned;
import nettlewick.decision.PoolAssignment;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.RequestClass;

/**
 * Connects requests, attempts and outcomes to the decision module and guarantees what its interface asks for: one
 * outcome for each dispatch, one answer for each probe, and one final answer for each request, in time.
 *
 * <p>One thread runs {@link #run}; it owns the module and all state. The other public methods may be called by any
 * thread: they queue a task for the core thread and return at once. Results leave through {@link Transport} and
 * {@link Request.Caller}. Times are in milliseconds on the {@link Clock}.
 */
public final class RequestCoordinator implements Runnable {
    private final Clock clock;
    private final Metrics metrics;
    private final CoreLoop loop;
    private final InFlightTable table;
    private final EndpointStates endpoints = new EndpointStates();
    private final ReplaceableListener listener = new ReplaceableListener();
    private final FinalAnswers answers;
    private final DrainHandover drainHandover;
    private final RequestIntake intake;
    private final AttemptTracker attempts;
    private final ProbeTracker probes;
    private final ActionExecutor actions;

    /** Creates a coordinator that records no usage; see the other constructor. */
    public RequestCoordinator(
            Clock clock, SchedulerSettings settings, long seed, int maxInFlight, Transport transport) {
        this(clock, settings, seed, maxInFlight, transport, UsageRecorder.NONE);
    }

    /**
     * Creates a coordinator with a decision module of its own.
     *
     * @param seed        of the module's random numbers
     * @param maxInFlight how many requests may wait for their final answer at once; more are rejected
     */
    public RequestCoordinator(
            Clock clock,
            SchedulerSettings settings,
            long seed,
            int maxInFlight,
            Transport transport,
            UsageRecorder recorder) {
        this(clock, settings, Dispatcher.create(settings, seed), maxInFlight, transport, recorder);
    }

    RequestCoordinator(
            Clock clock,
            SchedulerSettings settings,
            Dispatcher module,
            int maxInFlight,
            Transport transport,
            UsageRecorder recorder) {
        this.clock = clock;
        metrics =
                new Metrics(settings.classes().stream().map(RequestClass::name).toList());
        loop = new CoreLoop(clock, module, metrics, this::execute);
        table = new InFlightTable(maxInFlight);
        answers = new FinalAnswers(loop, table, new UsageAccounting(loop, recorder), listener);
        RetryAdvice retryAdvice = new RetryAdvice(settings.limits());
        drainHandover = new DrainHandover(loop, table, answers, retryAdvice);
        DeadlineGuard deadlineGuard = new DeadlineGuard(loop, answers, retryAdvice);
        intake = new RequestIntake(loop, table, answers, deadlineGuard, drainHandover, listener, settings, retryAdvice);
        attempts = new AttemptTracker(loop, table, endpoints, answers, drainHandover, listener, transport, settings);
        probes = new ProbeTracker(loop, transport);
        actions = new ActionExecutor(loop, table, answers, attempts, probes, transport);
    }

    private void execute(Action action) {
        actions.accept(action);
    }

    /** Notifies this listener of all that happens; to be set before the core thread starts. */
    public void setListener(RequestListener newListener) {
        listener.replace(newListener);
    }

    /** Metrics for operators. */
    public Metrics metrics() {
        return metrics;
    }

    /** Runs the core loop on the calling thread until {@link #stop} or an interrupt. */
    @Override
    public void run() {
        loop.run();
    }

    /** Ends {@link #run} once the tasks queued before have run. */
    public void stop() {
        loop.stop();
    }

    /** Runs one iteration of the loop on the calling thread, for tests without a core thread. */
    void runIteration(double maxWaitMillis) throws InterruptedException {
        loop.runIteration(maxWaitMillis);
    }

    /** Takes a request; its caller gets exactly one final answer. */
    public void submit(Request request) {
        loop.post(() -> intake.accept(request));
    }

    /** Nobody waits for this request any more: it gets no answer. */
    public void abandon(Request request) {
        loop.post(() -> {
            InFlightRequest inFlight = table.get(request.id());
            if (inFlight != null && inFlight.request() == request) {
                answers.abandon(inFlight);
            }
        });
    }

    /** Applies an update of the endpoint list. */
    public void updateEndpoints(EndpointUpdate update) {
        loop.post(() -> {
            loop.addEvent(endpoints.apply(update));
            listener.onEndpointsUpdated(update);
        });
    }

    /** An operator disabled an endpoint, or enabled it again, at that time in milliseconds. */
    public void setEndpointDisabled(String endpoint, boolean disabled, double sinceMillis) {
        loop.post(() -> {
            endpoints.setDisabled(endpoint, disabled);
            loop.addEvent(new EndpointAdminChange(endpoint, disabled, ModuleTime.toNanos(sinceMillis)));
        });
    }

    /** Replaces the tenants' dedicated endpoints; each assignment says whether others stay away from them. */
    public void assignPools(List<PoolAssignment> assignments) {
        loop.post(() -> loop.addEvent(new PoolsAssigned(assignments)));
    }

    /** An endpoint reported that it works on an attempt; {@code share} from 0 to 1 is done. */
    public void reportProgress(Attempt attempt, double progress) {
        double reportedAt = clock.nowMillis();
        loop.post(() -> attempts.reportProgress(attempt, progress, reportedAt));
    }

    /** An attempt is over. Only its first end counts. */
    public void attemptEnded(Attempt attempt, Attempt.Outcome outcome) {
        double endedAt = clock.nowMillis();
        loop.post(() -> attempts.end(attempt, outcome, endedAt));
    }

    /** A probe is over. Only its first end counts. */
    public void probeAnswered(Probe probe, Attempt.Outcome outcome) {
        double endedAt = clock.nowMillis();
        loop.post(() -> probes.end(probe, outcome, endedAt));
    }

    /** A message came from the dispatcher of that rank. */
    public void receivePeerMessage(int rank, byte[] data) {
        loop.post(() -> loop.addEvent(new PeerMessageReceived(rank, data)));
    }

    /** Runs {@code then} on the core thread with the number of requests that wait for their final answer. */
    public void queryUnansweredCount(IntConsumer callback) {
        loop.post(() -> callback.accept(table.unansweredCount()));
    }

    /** Sets how many requests may wait for their final answer at once. */
    public void setMaxInFlight(int maxInFlight) {
        loop.post(() -> table.setMaxUnanswered(maxInFlight));
    }

    /**
     * Answers all requests in flight, for a shutdown that cannot wait: they are rejected where a retry is harmless,
     * else failed, since they may be running. Requests that arrive later are rejected.
     */
    public void answerAllNow() {
        loop.post(drainHandover::endAllRequests);
    }

    /**
     * A successor process is about to take over: draining and the kill are expected at these times, in milliseconds.
     * Requests that would outlive this process are held back until draining starts.
     */
    public void expectSuccessor(double drainAtMillis, double killAtMillis) {
        loop.post(() -> drainHandover.expectSuccessor(drainAtMillis, killAtMillis));
    }

    /** No successor takes over after all: what was held back proceeds. */
    public void cancelDraining() {
        loop.post(drainHandover::cancelExpectedDraining);
    }

    /** Draining starts, the kill comes at that time: requests that would outlive this process are rejected. */
    public void startDraining(double killAtMillis) {
        loop.post(() -> drainHandover.startDraining(killAtMillis));
    }

    /**
     * Tells {@code then}, on the core thread, whether a request in flight ends in time only if draining waits.
     *
     * @param killDelayMillis from the start of draining to the kill
     */
    public void queryWhetherDelayingDrainHelps(double killDelayMillis, Consumer<Boolean> callback) {
        loop.post(() -> callback.accept(drainHandover.isDelayingDrainUseful(killDelayMillis)));
    }
}
