package nettlewick.pcap;

/**
 * A TCP segment of a captured packet.
 *
 * @param capturedAtMillis when the packet was captured
 * @param flow             names both ends and the direction
 * @param sequence         the sequence number, unsigned
 */
record TcpSegment(double capturedAtMillis, String flow, int sequenceNumber, boolean syn, boolean fin, byte[] payload) {}
