package nettlewick.decision;

import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** A client's request until its final answer and its last outcome. */
final class ScheduledRequest {
    final Arrival arrival;
    final RequestClass requestClass;
    final int classIndex;
    final TenantCredit tenantCredit;
    final long arrivedAt;
    final long deadline;
    final double cost;
    boolean answered;
    boolean streaming;
    final List<Attempt> attempts = new ArrayList<>(2);

    ScheduledRequest(Arrival arrival, RequestClass kind, int index, TenantCredit tenure, long now) {
        this.arrival = arrival;
        this.requestClass = kind;
        this.classIndex = index;
        this.tenantCredit = tenure;
        arrivedAt = now;
        deadline = now + arrival.remaining();
        cost = arrival.slots() * (arrival.costHint() > 0 ? arrival.costHint() / 1e9 : 1);
    }

    /** Worth of a slot that the job takes. */
    double priorityPerSlot() {
        return requestClass.priorityWeight() / Math.max(arrival.slots(), 1e-3);
    }

    int inFlightAttempts() {
        int n = 0;
        for (Attempt a : attempts) {
            n += a.ended ? 0 : 1;
        }
        return n;
    }

    boolean wasSentTo(Endpoint endpoint) {
        for (Attempt a : attempts) {
            if (a.endpoint == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that ran, may have run or may run yet; null if none. */
    Attempt firstPossiblyExecutedAttempt() {
        for (Attempt a : attempts) {
            if (!a.ended || !a.neverRan) {
                return a;
            }
        }
        return null;
    }
}
