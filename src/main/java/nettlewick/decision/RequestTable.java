package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests that are not over: by id until their last outcome, and those held back before admission. */
final class RequestTable {
    private final Map<String, ScheduledRequest> byId = new HashMap<>();
    private final List<ScheduledRequest> unanswered = new ArrayList<>();
    private final List<ScheduledRequest> held = new ArrayList<>();

    /** The request of this id, null if there is none or it is over. */
    ScheduledRequest find(String id) {
        return byId.get(id);
    }

    void add(ScheduledRequest request) {
        byId.put(request.id(), request);
        unanswered.add(request);
    }

    void remove(ScheduledRequest request) {
        byId.remove(request.id());
    }

    /** A copy of the list of requests without a final answer, in the order of arrival. */
    List<ScheduledRequest> unanswered() {
        return List.copyOf(unanswered);
    }

    void dropAnswered() {
        unanswered.removeIf(ScheduledRequest::isAnswered);
    }

    /** Holds a request back until {@link #releaseHeld}. */
    void hold(ScheduledRequest request) {
        held.add(request);
    }

    /** Releases the requests that arrived at {@code arrivedUntil} or before, in the order of arrival. */
    List<ScheduledRequest> releaseHeld(long arrivedUntil) {
        List<ScheduledRequest> released = held.stream()
                .filter(request -> request.arrivedAt() <= arrivedUntil)
                .toList();
        held.removeAll(released);
        return released;
    }
}
