package nettlewick.pcap;

/**
 * The TCP segment in a captured packet.
 *
 * @param capturedAtMillis when the packet was captured
 * @param flow             identifies both endpoints and the direction
 * @param sequenceNumber   as an unsigned 32-bit number
 */
record TcpSegment(double capturedAtMillis, String flow, int sequenceNumber, boolean syn, boolean fin, byte[] payload) {}
