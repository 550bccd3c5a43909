package nettlewick.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import nettlewick.decision.Action;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.EndpointState;
import nettlewick.decision.Event;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.LoadReporting;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Rules;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.BeforeEach;

/** A coordinator with a scripted decision module, a recording transport, and a manual clock. */
abstract class RequestCoordinatorFixture {
    static final double START_MILLIS = 1_000_000;
    final Clock clock = Clock.stoppedAt(START_MILLIS);
    final List<Event> moduleEvents = new ArrayList<>();
    final List<String> sideEffects = new ArrayList<>();
    final List<Attempt> sentAttempts = new ArrayList<>();
    final List<nettlewick.core.Probe> probes = new ArrayList<>();
    Function<Event, List<Action>> script = e -> List.of();
    long lastDecisionNanos;
    RequestCoordinator coordinator;
    /** Tests that replace it must call {@link #createCoordinator} afterwards. */
    UsageRecorder usageRecorder = UsageRecorder.NONE;

    private static RequestClass requestClass(String name, Idempotency idempotency) {
        return new RequestClass(name, idempotency, Scope.ALL, 0, 1, 0, 1, 1, 0, false, -1, 0);
    }

    @BeforeEach
    void createCoordinator() throws InterruptedException {
        SchedulerSettings settings = new SchedulerSettings(
                0,
                1,
                null,
                List.of(requestClass("c", Idempotency.IDEMPOTENT), requestClass("once", Idempotency.NON_IDEMPOTENT)),
                List.of(),
                List.of(),
                false,
                false,
                LoadReporting.OFF,
                0,
                new Limits(2, true, true, true, true, true, 0),
                new Rules(0, 0, 0, 1, 0, 0, 1));
        Dispatcher module = (now, batch) -> {
            lastDecisionNanos = now;
            List<Action> actions = new ArrayList<>();
            for (Event e : batch) {
                moduleEvents.add(e);
                actions.addAll(script.apply(e));
            }
            return actions;
        };
        coordinator = new RequestCoordinator(
                clock,
                settings,
                module,
                2,
                new Transport() {
                    @Override
                    public void send(Attempt a) {
                        sentAttempts.add(a);
                        sideEffects.add("send " + a.request().id() + a.number());
                    }

                    @Override
                    public void cancel(Attempt a) {
                        sideEffects.add("cancel " + a.request().id() + a.number());
                    }

                    @Override
                    public void probe(nettlewick.core.Probe p) {
                        probes.add(p);
                    }

                    @Override
                    public void cancel(nettlewick.core.Probe p) {
                        sideEffects.add("cancel probe");
                    }

                    @Override
                    public void sendToPeer(int rank, byte[] data) {
                        sideEffects.add("peer message " + rank);
                    }
                },
                usageRecorder);
        coordinator.updateEndpoints(new EndpointUpdate(
                true, List.of(endpoint("w", EndpointState.READY), endpoint("d", EndpointState.DRAINING))));
        advanceTo(0);
    }

    static EndpointUpdate.Entry endpoint(String endpoint, EndpointState state) {
        return new EndpointUpdate.Entry(endpoint, state, 2.5, 0, "k", "z", 1);
    }

    /** Advances the clock to {@code millis} after the start and runs all tasks that are ready. */
    void advanceTo(double millis) throws InterruptedException {
        clock.advanceTo(START_MILLIS + millis);
        for (int i = 0; i < 8; i++) {
            coordinator.runIteration(0);
        }
    }

    Request submit(String id, double deadlineMillis) {
        return submit(id, deadlineMillis, 1.5);
    }

    Request submit(String id, double deadlineMillis, double costHintMillis) {
        return submit(id, "c", deadlineMillis, costHintMillis);
    }

    /** Submits a non-idempotent request. */
    Request submitNonIdempotent(String id, double deadlineMillis) {
        return submit(id, "once", deadlineMillis, 1.5);
    }

    private Request submit(String id, String requestClass, double deadlineMillis, double costHintMillis) {
        Request[] request = new Request[1];
        request[0] = new Request(
                id,
                requestClass,
                null,
                null,
                START_MILLIS + deadlineMillis,
                1,
                0,
                costHintMillis,
                false,
                null,
                new Request.Caller() {
                    @Override
                    public void onServed(byte[] result) {
                        sideEffects.add("served " + id);
                    }

                    @Override
                    public void onRejected(double retryAfter) {
                        sideEffects.add("rejected " + id + " " + retryAfter);
                    }

                    @Override
                    public void onFailed(String reason) {
                        sideEffects.add("failed " + id);
                    }
                });
        coordinator.submit(request[0]);
        return request[0];
    }

    void onArrival(Action... actions) {
        script = e -> e instanceof Arrival ? List.of(actions) : List.of();
    }

    List<AttemptResult> attemptResults() {
        return moduleEvents.stream()
                .filter(e -> e instanceof Outcome)
                .map(e -> ((Outcome) e).result())
                .toList();
    }
}
