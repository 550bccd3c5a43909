package nettlewick.decision;

/** A load report; a value that is not reported is NaN. */
public record EndpointLoad(double freeSlots, double freeMemory, double waiting, double inHand, double busyShare) {}
