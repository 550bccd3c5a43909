package nettlewick.pcap;

import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;

/** Decides until when a captured request, which may have run already, can run again without harm. */
final class ReplayPolicy {
    private static final double NANOS_PER_MILLI = 1e6;

    private ReplayPolicy() {}

    /**
     * The time from which on the request must not be started, in milliseconds; infinite if it may always run again. A
     * keyed request may run again only where every endpoint knows its key, since the endpoint that it ran at is
     * unknown.
     *
     * @param idempotencyKey   null for none
     * @param capturedAtMillis when its last byte was captured; it cannot have run earlier
     */
    static double latestStartMillis(RequestClass requestClass, String idempotencyKey, double capturedAtMillis) {
        boolean isKeyKnownEverywhere = requestClass.idempotency() == Idempotency.KEYED
                && requestClass.dedupScope() == Scope.ALL
                && idempotencyKey != null;
        if (isKeyKnownEverywhere) {
            return capturedAtMillis + requestClass.dedupWindowNanos() / NANOS_PER_MILLI;
        }
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                ? Double.POSITIVE_INFINITY
                : Double.NEGATIVE_INFINITY;
    }
}
