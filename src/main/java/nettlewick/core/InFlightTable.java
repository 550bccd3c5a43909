package nettlewick.core;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** The requests in flight, the ids of those that finished lately, and the limit on unanswered ones. Core thread. */
final class InFlightTable {
    /** Some minutes of traffic. */
    private static final int MAX_FINISHED_IDS = 10_000;

    private final Map<String, InFlightRequest> requests = new HashMap<>();
    /** The oldest first. */
    private final Set<String> finishedIds = new LinkedHashSet<>();

    private int maxUnanswered;
    private int unansweredCount;

    InFlightTable(int maxUnanswered) {
        this.maxUnanswered = maxUnanswered;
    }

    void setMaxUnanswered(int maxUnanswered) {
        this.maxUnanswered = maxUnanswered;
    }

    /** Whether as many requests wait for their final answer as may. */
    boolean isFull() {
        return unansweredCount >= maxUnanswered;
    }

    int unansweredCount() {
        return unansweredCount;
    }

    /** Whether the id belongs to a request in flight or to one that finished lately. */
    boolean isKnownId(String id) {
        return requests.containsKey(id) || finishedIds.contains(id);
    }

    InFlightRequest add(Request request, RequestClass requestClass) {
        InFlightRequest inFlight = new InFlightRequest(request, requestClass);
        requests.put(request.id(), inFlight);
        unansweredCount++;
        return inFlight;
    }

    /** The request in flight of that id, or null. */
    InFlightRequest get(String id) {
        return requests.get(id);
    }

    /** A copy of those that wait for their final answer. */
    List<InFlightRequest> unanswered() {
        return requests.values().stream().filter(r -> !r.isAnswered()).toList();
    }

    /** Marks the final answer as decided; true for the first call of a request only. */
    boolean markAnswered(InFlightRequest inFlight) {
        boolean first = inFlight.markAnswered();
        if (first) {
            unansweredCount--;
        }
        return first;
    }

    /** Drops a request that is answered and has no attempt in flight, and remembers its id. */
    void removeIfFinished(InFlightRequest inFlight) {
        if (inFlight.isAnswered() && !inFlight.hasAttemptInFlight() && requests.remove(inFlight.id(), inFlight)) {
            finishedIds.add(inFlight.id());
            if (finishedIds.size() > MAX_FINISHED_IDS) {
                finishedIds.remove(finishedIds.iterator().next());
            }
        }
    }
}
