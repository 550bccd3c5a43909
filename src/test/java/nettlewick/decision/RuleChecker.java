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

/** Watches one instance from outside and records each broken rule. Shares no code with the module. */
final class RuleChecker {
    final List<String> broken = new ArrayList<>();
    private final SchedulerSettings settings;
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, EndpointEntry> list = new HashMap<>();
    private final Map<String, List<Long>> coldSends = new HashMap<>();
    private double warmServed;
    private long began = -1;

    private static final class Request {
        Arrival arrival;
        long deadline;
        boolean answered;
        final List<Send> sends = new ArrayList<>();
    }

    private static final class Send {
        String endpoint;
        long at;
        boolean out = true;
        boolean never;
    }

    RuleChecker(SchedulerSettings settings) {
        this.settings = settings;
    }

    void event(long now, Event event) {
        began = began < 0 ? now : began;
        if (event instanceof Arrival e) {
            Request r = new Request();
            r.arrival = e;
            r.deadline = now + e.remainingNanos();
            requests.put(e.id(), r);
        } else if (event instanceof EndpointList e) {
            if (e.isComplete()) {
                list.replaceAll((id, endpoint) -> new EndpointEntry(
                        id,
                        EndpointState.GONE,
                        endpoint.startedAt(),
                        endpoint.cell(),
                        endpoint.kind(),
                        endpoint.zone(),
                        1));
            }
            e.entries().forEach(endpoint -> list.put(endpoint.id(), endpoint));
        } else if (event instanceof Outcome e) {
            Request r = requests.get(e.id());
            Send s = r.sends.get(e.attempt());
            s.out = false;
            s.never = switch (e.result()) {
                case OVERLOADED, UNREACHABLE, NOT_SENT -> true;
                default -> false;
            };
            r.answered |= e.isFinal();
            warmServed +=
                    e.result() == AttemptResult.SERVED && list.get(e.endpoint()).startedAt() == 0 ? 1 : 0;
        } else if (event instanceof Abandoned e) {
            if (requests.containsKey(e.id())) {
                requests.get(e.id()).answered = true;
            }
        }
    }

    void action(long now, Action action) {
        if (action instanceof Dispatch a) {
            dispatch(now, a);
        } else if (action instanceof Reject a) {
            Request r = answer(a.id(), now);
            boolean mayRun = r.sends.stream().anyMatch(s -> !s.never);
            RequestClass c = requestClass(r);
            if (mayRun
                    && (c.idempotency() == Idempotency.NON_IDEMPOTENT
                            || c.idempotency() == Idempotency.KEYED && c.dedupScope() != Scope.ALL)) {
                broken.add("effect: " + a.id() + " rejected though it may have run");
            }
        } else if (action instanceof Fail a) {
            answer(a.id(), now);
        } else if (!settings.limits().allowsCancel() && action instanceof Cancel
                || !settings.limits().allowsProbes() && action instanceof Probe
                || !settings.limits().allowsPeers() && action instanceof SendToPeer) {
            broken.add("forbidden: " + action);
        }
    }

    private Request answer(String id, long now) {
        Request r = requests.get(id);
        if (r.answered) {
            broken.add("lost: " + id + " answered twice");
        }
        if (now > r.deadline + settings.rules().answerSlackNanos()) {
            broken.add("lost: " + id + " answered too late");
        }
        r.answered = true;
        return r;
    }

    private void dispatch(long now, Dispatch a) {
        Request r = requests.get(a.id());
        RequestClass c = requestClass(r);
        EndpointEntry endpoint = list.get(a.endpointId());
        if (r.answered) {
            broken.add("lost: " + a.id() + " sent after its answer");
        }
        if (endpoint == null || endpoint.state() != EndpointState.READY) {
            broken.add("drain: " + a.endpointId() + " is not ready");
            return;
        }
        if (r.sends.size() >= settings.limits().maxAttempts()) {
            broken.add("forbidden: one attempt too many for " + a.id());
        }
        long out = r.sends.stream().filter(s -> s.out).count();
        if (out > 0 && !settings.limits().allowsHedging() || out > 1) {
            broken.add("forbidden: too many attempts at once for " + a.id());
        }
        Send first = r.sends.stream().filter(s -> !s.never).findFirst().orElse(null);
        if (first != null && c.idempotency() == Idempotency.NON_IDEMPOTENT) {
            broken.add("effect: fragile " + a.id() + " sent again");
        }
        if (first != null && c.idempotency() == Idempotency.KEYED) {
            EndpointEntry f = list.get(first.endpoint);
            if (now - first.at > c.dedupWindowNanos()
                    || c.dedupScope() == Scope.ZONE && !f.zone().equals(endpoint.zone())
                    || c.dedupScope() == Scope.CELL && f.cell() != endpoint.cell()) {
                broken.add("effect: dedup " + a.id() + " sent again outside its window or group");
            }
        }
        Send s = new Send();
        s.endpoint = a.endpointId();
        s.at = now;
        r.sends.add(s);
        if (endpoint.startedAt() > 0
                && now - endpoint.startedAt() < settings.rules().slowStartNanos()) {
            cold(now, endpoint);
        }
    }

    /** This instance's part: what a warm endpoint carries for it, ramped, times the factor, and one for chance. */
    private void cold(long now, EndpointEntry endpoint) {
        List<Long> sends = coldSends.computeIfAbsent(endpoint.id(), k -> new ArrayList<>());
        sends.add(now);
        long recent = sends.stream()
                .filter(at -> now - at < settings.rules().overloadWindowNanos())
                .count();
        long warm = Math.max(
                1,
                list.values().stream()
                        .filter(x -> x.startedAt() == 0 && x.state() == EndpointState.READY)
                        .count());
        double seconds = Math.max(1, (now - began) / 1e9);
        double age = (double) (now - endpoint.startedAt()) / settings.rules().slowStartNanos();
        double ramp = settings.rules().slowStartShare() + (1 - settings.rules().slowStartShare()) * age;
        double budget = settings.rules().overloadFactor()
                        * ramp
                        * warmServed
                        / seconds
                        / warm
                        * settings.rules().overloadWindowNanos()
                        / 1e9
                + 1;
        if (recent > budget) {
            broken.add("cold: " + endpoint.id() + " got " + recent + " of " + budget);
        }
    }

    /** To be called when nothing more happens. */
    void finish(long now) {
        requests.forEach((id, r) -> {
            if (!r.answered && now > r.deadline + settings.rules().answerSlackNanos()) {
                broken.add("lost: " + id + " never answered");
            }
        });
    }

    private RequestClass requestClass(Request r) {
        return settings.classes().stream()
                .filter(c -> c.name().equals(r.arrival.requestClass()))
                .findFirst()
                .orElseThrow();
    }
}
