package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Event.Abandoned;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;

/** Checks the events and actions of one instance against the rules, independently of the code of the module. */
final class RuleChecker {
    final List<String> violations = new ArrayList<>();
    private final SchedulerSettings settings;
    private final Map<String, TrackedRequest> requests = new HashMap<>();
    private final Map<String, EndpointEntry> endpoints = new HashMap<>();
    private final Map<String, List<Long>> dispatchesDuringSlowStart = new HashMap<>();
    private double servedByWarmEndpoints;
    private long startedAt = -1;

    private static final class TrackedRequest {
        Arrival arrival;
        long deadline;
        boolean isAnswered;
        final List<TrackedAttempt> attempts = new ArrayList<>();
    }

    private static final class TrackedAttempt {
        String endpointId;
        long sentAt;
        boolean isInFlight = true;
        boolean neverRan;
    }

    RuleChecker(SchedulerSettings settings) {
        this.settings = settings;
    }

    void recordEvent(long now, Event event) {
        startedAt = startedAt < 0 ? now : startedAt;
        if (event instanceof Arrival e) {
            TrackedRequest request = new TrackedRequest();
            request.arrival = e;
            request.deadline = now + e.remainingNanos();
            requests.put(e.id(), request);
        } else if (event instanceof EndpointList e) {
            if (e.isComplete()) {
                endpoints.replaceAll((id, endpoint) -> new EndpointEntry(
                        id,
                        EndpointState.GONE,
                        endpoint.startedAt(),
                        endpoint.cell(),
                        endpoint.kind(),
                        endpoint.zone(),
                        1));
            }
            e.entries().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        } else if (event instanceof Outcome e) {
            TrackedRequest request = requests.get(e.id());
            TrackedAttempt attempt = request.attempts.get(e.attempt());
            attempt.isInFlight = false;
            attempt.neverRan = switch (e.result()) {
                case OVERLOADED, UNREACHABLE, NOT_SENT -> true;
                default -> false;
            };
            request.isAnswered |= e.isFinal();
            servedByWarmEndpoints += e.result() == AttemptResult.SERVED
                            && endpoints.get(e.endpoint()).startedAt() == 0
                    ? 1
                    : 0;
        } else if (event instanceof Abandoned e) {
            if (requests.containsKey(e.id())) {
                requests.get(e.id()).isAnswered = true;
            }
        }
    }

    void checkAction(long now, Action action) {
        if (action instanceof Dispatch a) {
            checkDispatch(now, a);
        } else if (action instanceof Reject a) {
            TrackedRequest request = recordAnswer(a.id(), now);
            boolean mayHaveRun = request.attempts.stream().anyMatch(attempt -> !attempt.neverRan);
            RequestClass requestClass = requestClass(request);
            if (mayHaveRun
                    && (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                            || requestClass.idempotency() == Idempotency.KEYED
                                    && requestClass.dedupScope() != Scope.ALL)) {
                violations.add("idempotency: " + a.id() + " rejected though it may have run");
            }
        } else if (action instanceof Fail a) {
            recordAnswer(a.id(), now);
        } else if (!settings.limits().allowsCancel() && action instanceof Cancel
                || !settings.limits().allowsProbes() && action instanceof Probe
                || !settings.limits().allowsPeers() && action instanceof SendToPeer) {
            violations.add("limit: " + action);
        }
    }

    private TrackedRequest recordAnswer(String id, long now) {
        TrackedRequest request = requests.get(id);
        if (request.isAnswered) {
            violations.add("answer: " + id + " answered twice");
        }
        if (now > request.deadline + settings.rules().answerSlackNanos()) {
            violations.add("answer: " + id + " answered too late");
        }
        request.isAnswered = true;
        return request;
    }

    private void checkDispatch(long now, Dispatch dispatch) {
        TrackedRequest request = requests.get(dispatch.id());
        RequestClass requestClass = requestClass(request);
        EndpointEntry endpoint = endpoints.get(dispatch.endpointId());
        if (request.isAnswered) {
            violations.add("answer: " + dispatch.id() + " sent after its answer");
        }
        if (endpoint == null || endpoint.state() != EndpointState.READY) {
            violations.add("endpoint: " + dispatch.endpointId() + " is not ready");
            return;
        }
        if (request.attempts.size() >= settings.limits().maxAttempts()) {
            violations.add("limit: more attempts than allowed for " + dispatch.id());
        }
        long inFlight =
                request.attempts.stream().filter(attempt -> attempt.isInFlight).count();
        if (inFlight > 0 && !settings.limits().allowsHedging() || inFlight > 1) {
            violations.add("limit: too many attempts in flight for " + dispatch.id());
        }
        TrackedAttempt first = request.attempts.stream()
                .filter(attempt -> !attempt.neverRan)
                .findFirst()
                .orElse(null);
        if (first != null && requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            violations.add("idempotency: non-idempotent " + dispatch.id() + " sent again");
        }
        if (first != null && requestClass.idempotency() == Idempotency.KEYED) {
            EndpointEntry firstEndpoint = endpoints.get(first.endpointId);
            if (now - first.sentAt > requestClass.dedupWindowNanos()
                    || requestClass.dedupScope() == Scope.ZONE
                            && !firstEndpoint.zone().equals(endpoint.zone())
                    || requestClass.dedupScope() == Scope.CELL && firstEndpoint.cell() != endpoint.cell()) {
                violations.add("idempotency: keyed " + dispatch.id() + " sent again outside its window or scope");
            }
        }
        TrackedAttempt attempt = new TrackedAttempt();
        attempt.endpointId = dispatch.endpointId();
        attempt.sentAt = now;
        request.attempts.add(attempt);
        if (endpoint.startedAt() > 0
                && now - endpoint.startedAt() < settings.rules().slowStartNanos()) {
            checkSlowStart(now, endpoint);
        }
    }

    /** Limits dispatches to the overload factor times a warm endpoint's rate, scaled by the slow start, plus one. */
    private void checkSlowStart(long now, EndpointEntry endpoint) {
        List<Long> dispatches = dispatchesDuringSlowStart.computeIfAbsent(endpoint.id(), k -> new ArrayList<>());
        dispatches.add(now);
        long recent = dispatches.stream()
                .filter(at -> now - at < settings.rules().overloadWindowNanos())
                .count();
        long warmEndpoints = Math.max(
                1,
                endpoints.values().stream()
                        .filter(other -> other.startedAt() == 0 && other.state() == EndpointState.READY)
                        .count());
        double seconds = Math.max(1, (now - startedAt) / 1e9);
        double age = (double) (now - endpoint.startedAt()) / settings.rules().slowStartNanos();
        double ramp = settings.rules().slowStartShare() + (1 - settings.rules().slowStartShare()) * age;
        double budget = settings.rules().overloadFactor()
                        * ramp
                        * servedByWarmEndpoints
                        / seconds
                        / warmEndpoints
                        * settings.rules().overloadWindowNanos()
                        / 1e9
                + 1;
        if (recent > budget) {
            violations.add("slow start: " + endpoint.id() + " got " + recent + " of " + budget);
        }
    }

    /** Checks for unanswered requests; to be called after the last event. */
    void finish(long now) {
        requests.forEach((id, request) -> {
            if (!request.isAnswered && now > request.deadline + settings.rules().answerSlackNanos()) {
                violations.add("answer: " + id + " never answered");
            }
        });
    }

    private RequestClass requestClass(TrackedRequest request) {
        return settings.classes().stream()
                .filter(requestClass -> requestClass.name().equals(request.arrival.requestClass()))
                .findFirst()
                .orElseThrow();
    }
}
