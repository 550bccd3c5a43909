package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The open requests: by id until their last outcome, and those held before admission. */
final class RequestTable {
    private final Map<String, ScheduledRequest> byId = new HashMap<>();
    private final List<ScheduledRequest> unanswered = new ArrayList<>();
    private final List<ScheduledRequest> held = new ArrayList<>();

    /** The open request with this id, or null. */
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

    /** A snapshot of the requests without a final answer, in the order of arrival. */
    List<ScheduledRequest> unanswered() {
        return List.copyOf(unanswered);
    }

    void dropAnswered() {
        unanswered.removeIf(ScheduledRequest::isAnswered);
    }

    /** Holds a request until {@link #releaseHeld}. */
    void hold(ScheduledRequest request) {
        held.add(request);
    }

    /** Releases the held requests that arrived at or before {@code arrivedUntil}, in the order of arrival. */
    List<ScheduledRequest> releaseHeld(long arrivedUntil) {
        List<ScheduledRequest> released = held.stream()
                .filter(request -> request.arrivedAt() <= arrivedUntil)
                .toList();
        held.removeAll(released);
        return released;
    }
}
