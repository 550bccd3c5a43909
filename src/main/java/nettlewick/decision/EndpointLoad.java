package nettlewick.decision;

/**
 * A load report; a value that is not reported is NaN.
 *
 * @param freeSlots  free slots
 * @param freeMemory free memory
 * @param waiting    requests that wait
 * @param inHand     requests running or waiting
 * @param busyShare  busy part of its capacity, in [0, 1]
 */
public record EndpointLoad(
        double freeSlots, double freeMemory, double queuedRequests, double outstandingRequests, double busyShare) {}
