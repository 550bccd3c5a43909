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
 * Connects requests, attempts and outcomes to the decision module and provides the guarantees that its interface
 * requires: one outcome per dispatch, one answer per probe, and one final answer per request by its deadline.
 *
 * <p>The core thread runs {@link #run} and owns the module and all state. The other public methods are thread-safe:
 * they queue a task for the core thread and return immediately. Results are delivered through {@link Transport} and
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

    /** Creates a coordinator that does not record usage; see the other constructor. */
    public RequestCoordinator(
            Clock clock, SchedulerSettings settings, long seed, int maxInFlight, Transport transport) {
        this(clock, settings, seed, maxInFlight, transport, UsageRecorder.NONE);
    }

    /**
     * Creates a coordinator and its decision module.
     *
     * @param seed        seed of the module's random numbers
     * @param maxInFlight maximum number of unanswered requests; more are rejected
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

    /** Sets the listener; must be called before the core thread starts. */
    public void setListener(RequestListener newListener) {
        listener.replace(newListener);
    }

    /** Sets what other processes have accepted; must be called before the core thread starts. */
    public void setAcceptedIds(AcceptedIds acceptedIds) {
        intake.setAcceptedIds(acceptedIds);
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

    /** Ends {@link #run} after the tasks that are already queued. */
    public void stop() {
        loop.stop();
    }

    /** Runs one iteration of the loop on the calling thread, for tests without a core thread. */
    void runIteration(double maxWaitMillis) throws InterruptedException {
        loop.runIteration(maxWaitMillis);
    }

    /** Submits a request; its caller gets exactly one final answer. */
    public void submit(Request request) {
        loop.post(() -> intake.accept(request));
    }

    /** Abandons a request whose client has disconnected; its caller gets no answer. */
    public void abandon(Request request) {
        abandon(request.id(), request.caller());
    }

    /** Abandons the request of this caller, who need not keep the request in memory for it. */
    public void abandon(String id, Request.Caller caller) {
        loop.post(() -> {
            InFlightRequest inFlight = table.get(id);
            if (inFlight != null && inFlight.request().caller() == caller) {
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

    /** Sets whether an endpoint is administratively disabled, and since when. */
    public void setEndpointDisabled(String endpoint, boolean disabled, double sinceMillis) {
        loop.post(() -> {
            endpoints.setDisabled(endpoint, disabled);
            loop.addEvent(new EndpointAdminChange(endpoint, disabled, ModuleTime.toNanos(sinceMillis)));
        });
    }

    /** Replaces the tenants' dedicated endpoints; each assignment says whether other tenants must avoid them. */
    public void assignPools(List<PoolAssignment> assignments) {
        loop.post(() -> loop.addEvent(new PoolsAssigned(assignments)));
    }

    /** Reports that an endpoint works on an attempt, with its progress from 0 to 1. */
    public void reportProgress(Attempt attempt, double progress) {
        double reportedAt = clock.nowMillis();
        loop.post(() -> attempts.reportProgress(attempt, progress, reportedAt));
    }

    /** Reports the outcome of an attempt; calls after the first one are ignored. */
    public void attemptEnded(Attempt attempt, Attempt.Outcome outcome) {
        double endedAt = clock.nowMillis();
        loop.post(() -> attempts.end(attempt, outcome, endedAt));
    }

    /** Reports the answer to a probe; calls after the first one are ignored. */
    public void probeAnswered(Probe probe, Attempt.Outcome outcome) {
        double endedAt = clock.nowMillis();
        loop.post(() -> probes.end(probe, outcome, endedAt));
    }

    /** Passes on a message from the peer of that rank. */
    public void receivePeerMessage(int rank, byte[] data) {
        loop.post(() -> loop.addEvent(new PeerMessageReceived(rank, data)));
    }

    /** Calls {@code callback} on the core thread with the number of unanswered requests. */
    public void queryUnansweredCount(IntConsumer callback) {
        loop.post(() -> callback.accept(table.unansweredCount()));
    }

    /** Sets the maximum number of unanswered requests. */
    public void setMaxInFlight(int maxInFlight) {
        loop.post(() -> table.setMaxUnanswered(maxInFlight));
    }

    /**
     * Answers all requests in flight, for a shutdown that cannot wait: rejects them if a retry is safe, otherwise fails
     * them because they may be running. Requests that arrive later are rejected.
     */
    public void answerAllNow() {
        loop.post(drainHandover::endAllRequests);
    }

    /**
     * Announces that a successor process will take over, with the expected times of draining and of the kill. Requests
     * that would outlive this process are held until draining starts.
     */
    public void expectSuccessor(double drainAtMillis, double killAtMillis) {
        loop.post(() -> drainHandover.expectSuccessor(drainAtMillis, killAtMillis));
    }

    /** Cancels the expected takeover by a successor: held requests proceed. */
    public void cancelDraining() {
        loop.post(drainHandover::cancelExpectedDraining);
    }

    /** Starts draining: requests expected to run beyond {@code killAtMillis} are rejected. */
    public void startDraining(double killAtMillis) {
        loop.post(() -> drainHandover.startDraining(killAtMillis));
    }

    /**
     * Calls {@code callback} on the core thread with whether a request in flight ends in time only if draining is
     * delayed.
     *
     * @param killDelayMillis time from the start of draining to the kill
     */
    public void queryWhetherDelayingDrainHelps(double killDelayMillis, Consumer<Boolean> callback) {
        loop.post(() -> callback.accept(drainHandover.isDelayingDrainUseful(killDelayMillis)));
    }
}
