package nettlewick.core;

import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.ProbeAnswer;

/** Creates events for the decision module from the state of this package. */
final class ModuleEvents {
    private ModuleEvents() {}

    static Arrival arrival(Request request, double nowMillis) {
        return new Arrival(
                request.id(),
                request.requestClass(),
                request.tenant(),
                ModuleTime.toNanos(request.deadlineMillis()) - ModuleTime.toNanos(nowMillis),
                request.slots(),
                request.memory(),
                ModuleTime.toNanos(request.costHintMillis()),
                request.affinityKey(),
                request.isRetry());
    }

    /** {@code requestSettled} is whether the request has a final answer. */
    static Outcome outcome(Attempt attempt, Attempt.Outcome outcome, double endedAtMillis, boolean requestSettled) {
        return new Outcome(
                attempt.request().id(),
                attempt.number(),
                attempt.endpoint(),
                outcome.result(),
                ModuleTime.toNanos(endedAtMillis - attempt.sentAtMillis()),
                requestSettled,
                outcome.load());
    }

    static ProbeAnswer probeAnswer(Probe probe, Attempt.Outcome outcome, double endedAtMillis) {
        return new ProbeAnswer(
                probe.endpoint(),
                outcome.result(),
                ModuleTime.toNanos(endedAtMillis - probe.sentAtMillis()),
                outcome.load());
    }
}
