package nettlewick.core;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** Requests in flight, ids of recently finished requests, and the limit on unanswered requests. Core thread only. */
final class InFlightTable {
    /** Covers a few minutes of traffic; for requests that may run again and for all others each. */
    static final int MAX_FINISHED_IDS = 10_000;

    /** In the order of their arrival. */
    private final Map<String, InFlightRequest> requests = new LinkedHashMap<>();
    /** Ids of requests that may run again, the oldest first. */
    private final Set<String> finishedIdempotentIds = new LinkedHashSet<>();
    /** Ids of requests that must not run again; apart, so that no number of other requests displaces them. */
    private final Set<String> finishedOtherIds = new LinkedHashSet<>();

    private int maxUnanswered;
    private int unansweredCount;

    InFlightTable(int maxUnanswered) {
        this.maxUnanswered = maxUnanswered;
    }

    void setMaxUnanswered(int maxUnanswered) {
        this.maxUnanswered = maxUnanswered;
    }

    /** Whether the limit on unanswered requests is reached. */
    boolean isFull() {
        return unansweredCount >= maxUnanswered;
    }

    int unansweredCount() {
        return unansweredCount;
    }

    /** Whether the id belongs to a request in flight or to a recently finished one. */
    boolean isKnownId(String id) {
        return requests.containsKey(id) || finishedIdempotentIds.contains(id) || finishedOtherIds.contains(id);
    }

    InFlightRequest add(Request request, RequestClass requestClass) {
        InFlightRequest inFlight = new InFlightRequest(request, requestClass);
        requests.put(request.id(), inFlight);
        unansweredCount++;
        return inFlight;
    }

    /** The request in flight with that id, or null. */
    InFlightRequest get(String id) {
        return requests.get(id);
    }

    /** A copy of the requests without a final answer, in the order of their arrival. */
    List<InFlightRequest> unanswered() {
        return requests.values().stream().filter(r -> !r.isAnswered()).toList();
    }

    /** Marks the final answer as decided; returns true for the first call per request only. */
    boolean markAnswered(InFlightRequest inFlight) {
        boolean first = inFlight.markAnswered();
        if (first) {
            unansweredCount--;
        }
        return first;
    }

    /** Removes the request if it is answered and has no attempt in flight, and remembers its id. */
    void removeIfFinished(InFlightRequest inFlight) {
        if (inFlight.isAnswered() && !inFlight.hasAttemptInFlight() && requests.remove(inFlight.id(), inFlight)) {
            Set<String> finishedIds = inFlight.isIdempotent() ? finishedIdempotentIds : finishedOtherIds;
            finishedIds.add(inFlight.id());
            if (finishedIds.size() > MAX_FINISHED_IDS) {
                finishedIds.remove(finishedIds.iterator().next());
            }
        }
    }
}
