package nettlewick.decision;

/**
 * A load report. A value that is not reported is NaN.
 *
 * @param freeSlots           free slots
 * @param freeMemory          free memory
 * @param queuedRequests      requests that are queued
 * @param outstandingRequests requests that are running or queued
 * @param busyShare           utilization, in [0, 1]
 */
public record EndpointLoad(
        double freeSlots, double freeMemory, double queuedRequests, double outstandingRequests, double busyShare) {}
