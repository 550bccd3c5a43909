package nettlewick.decision;

/**
 * The result of selecting an endpoint for a request.
 *
 * @param endpoint        the selected endpoint, null if there is none
 * @param hasFreeCapacity whether it has free capacity, or no endpoint's capacity is known
 */
record EndpointSelection(Endpoint endpoint, boolean hasFreeCapacity) {}
