package nettlewick.decision;

import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.LoadReporting;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Rules;
import nettlewick.decision.SchedulerSettings.Scope;
import nettlewick.decision.SchedulerSettings.Tenant;

/** Settings, events and other test data shared by the tests. */
final class Samples {
    static final long MS = 1_000_000;
    static final long SECOND = 1000 * MS;

    private Samples() {}

    static RequestClass requestClass(String name, Idempotency idempotency, Scope scope, double priority) {
        return new RequestClass(
                name, idempotency, scope, 4 * SECOND, 200 * MS, 2, 5 * SECOND, priority, 0, false, -1, 0);
    }

    static Limits limits(boolean allowAll) {
        return new Limits(4, allowAll, allowAll, allowAll, allowAll, allowAll, 2 * SECOND);
    }

    static SchedulerSettings settings(int rank, int fleetSize, boolean allowAll) {
        return new SchedulerSettings(
                rank,
                fleetSize,
                "north",
                List.of(
                        requestClass("read", Idempotency.IDEMPOTENT, Scope.ALL, 2),
                                requestClass("keyed", Idempotency.KEYED, Scope.ZONE, 2),
                        requestClass("book", Idempotency.NON_IDEMPOTENT, Scope.ALL, 2),
                                requestClass("cell", Idempotency.KEYED, Scope.CELL, 2)),
                List.of(new Tenant("red", 0.5, 10), new Tenant("blue", 0.5, 10)),
                List.of("box"),
                false,
                false,
                LoadReporting.ON_PROBE,
                0,
                limits(allowAll),
                new Rules(5 * MS, 10 * SECOND, 8 * SECOND, 0.25, 250 * MS, 2 * SECOND, 3));
    }

    static EndpointEntry entry(String id, EndpointState state, long startedAt, String zone, int cell) {
        return new EndpointEntry(id, state, startedAt, cell, "box", zone, 1);
    }

    /** Returns a list of {@code count} warm endpoints, half of them in each zone, two per cell. */
    static EndpointList endpoints(int count) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry("w" + i, EndpointState.READY, 0, i % 2 == 0 ? "north" : "south", i / 2));
        }
        return new EndpointList(true, entries);
    }

    static Arrival arrival(String id, String requestClass, String tenant) {
        return new Arrival(id, requestClass, tenant, 5 * SECOND, 1, 0, 0, null, false);
    }

    static ScheduledRequest request(String requestClass, Idempotency idempotency, Scope scope) {
        RequestClass settings = requestClass(requestClass, idempotency, scope, 2);
        return new ScheduledRequest(arrival("a", requestClass, "red"), settings, 0, null, 0);
    }

    static Outcome outcome(Dispatch dispatch, int attempt, AttemptResult result) {
        return new Outcome(
                dispatch.id(), attempt, dispatch.endpointId(), result, 50 * MS, result == AttemptResult.SERVED, null);
    }

    static ProbeAnswer probeAnswer(String endpoint, double freeSlots, double queued) {
        return new ProbeAnswer(
                endpoint,
                AttemptResult.SERVED,
                MS,
                new EndpointLoad(freeSlots, Double.NaN, queued, Double.NaN, Double.NaN));
    }

    /** Replaces the attempts in flight at the endpoint by one that occupies {@code slots}, or by none for 0. */
    static void setSlotsInFlight(Endpoint endpoint, double slots) {
        List.copyOf(endpoint.inFlight().attempts()).forEach(endpoint.inFlight()::remove);
        if (slots > 0) {
            Arrival arrival = new Arrival("held", "read", "red", SECOND, slots, 0, 0, null, false);
            RequestClass read = requestClass("read", Idempotency.IDEMPOTENT, Scope.ALL, 2);
            ScheduledRequest request = new ScheduledRequest(arrival, read, 0, null, 0);
            endpoint.inFlight().add(request.addAttempt(endpoint, 0));
        }
    }

    static <T extends Action> List<T> actionsOfType(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
