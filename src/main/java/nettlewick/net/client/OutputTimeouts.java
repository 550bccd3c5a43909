package nettlewick.net.client;

/**
 * How long a client may take to read a response once the whole of it is written. A client that reads nothing, or almost
 * nothing, must not hold its connection for ever.
 *
 * @param stallMillis the longest time in which the socket accepts no byte of the response
 * @param totalMillis the longest time from the end of the response until the socket has accepted all of it
 */
record OutputTimeouts(double stallMillis, double totalMillis) {
    /** For responses of which the kernel holds all or most. */
    static final OutputTimeouts STANDARD = new OutputTimeouts(5000, ClientConnectionState.IDLE_TIMEOUT_MILLIS);

    /** These timeouts, each extended to at least this time. */
    OutputTimeouts extendedTo(double millis) {
        return new OutputTimeouts(Math.max(stallMillis, millis), Math.max(totalMillis, millis));
    }
}
