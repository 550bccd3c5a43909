package nettlewick.decision;

/**
 * Where a request may be sent.
 *
 * @param endpoint the endpoint chosen, null if there is none
 * @param hasRoom  whether room was seen there, or nothing is known of any endpoint's room
 */
record EndpointSelection(Endpoint endpoint, boolean hasFreeCapacity) {}
