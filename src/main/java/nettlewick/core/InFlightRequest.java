package nettlewick.core;

import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** A request until its final answer and its last outcome. */
final class InFlightRequest {
    final Request request;
    final RequestClass requestClass;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Its end is decided. Written by the core's thread alone; the event loop reads it before each send. */
    volatile boolean answered;

    InFlightRequest(Request request, RequestClass requestClass) {
        this.request = request;
        this.requestClass = requestClass;
    }

    /**
     * Until when one more attempt may begin, in milliseconds: its deadline, and for a keyed job the end of
     * its window, counted from the first attempt that may have run.
     */
    double latestStartMillis() {
        if (requestClass.idempotency() == Idempotency.KEYED) {
            for (Attempt a : attempts) {
                if (a.mayHaveRun()) {
                    return Math.min(request.deadline(), a.sentAtMillis() + requestClass.dedupWindow() / CoreLoop.NANOS);
                }
            }
        }
        return request.deadline();
    }

    boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(a -> !a.isEnded());
    }
}
