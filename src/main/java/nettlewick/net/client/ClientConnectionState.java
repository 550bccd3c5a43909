package nettlewick.net.client;

/**
 * The states of one client connection and when its time in each is over. Holds no socket, so that a model can
 * be checked against it; times are the caller's, in milliseconds.
 *
 * <pre>
 * WAITING ---bytes--> READING ---begin--> ANSWERING ---answered--> WAITING
 *    |                   |                    |
 *    |                   +-------close--------+--close--> CLOSING --linger--> LINGERING --closed--> CLOSED
 *    +---------------------closed----------------------------------------------------------------------^
 * </pre>
 *
 * <p>An event that a state does not name leaves it as it is. From CLOSING on no request is taken any more.
 */
final class ClientConnectionState {
    /** What the connection is at. */
    enum Phase {
        /** Idle: everything that came is answered. */
        WAITING,
        /** A request has begun to come. */
        READING,
        /** One request has been handed on and owes its answer. */
        ANSWERING,
        /** The last answer has been written and is not on the socket yet. */
        CLOSING,
        /** Shut for writing; what still comes is read and thrown away. */
        LINGERING,
        CLOSED
    }

    /**
     * From connecting, or from a later request's first byte, to its last one. A client that sends nothing, or
     * a byte now and then, would hold its connection for good; it is owed an end within 3 s.
     */
    static final double READ_TIMEOUT_MILLIS = 2400;
    /** A connection that was served and asks nothing more; one that was served nothing has READ. */
    static final double IDLE_TIMEOUT_MILLIS = 60_000;
    /** An answer that the client does not take from its socket. */
    static final double UNREAD_OUTPUT_TIMEOUT_MILLIS = 5000;
    /** From the end of writing to the close, in which the client can read its last answer. */
    static final double LINGER_MILLIS = 1000;

    /** At the planned end: a client that goes on asking has sent its next request by then. */
    static final double QUIET_MILLIS = 200;

    private final double openedAt;
    private Phase phase = Phase.WAITING;
    private double since;
    private int responses;
    private int resultsServed;

    ClientConnectionState(double now) {
        openedAt = now;
        since = now;
    }

    Phase phase() {
        return phase;
    }

    /** Whether requests are still taken from this connection. */
    boolean takesRequests() {
        return phase == Phase.WAITING || phase == Phase.READING || phase == Phase.ANSWERING;
    }

    /** Some bytes of a request have come. */
    void bytesReceived(double now) {
        if (phase == Phase.WAITING) {
            // Counted from its first byte, a first request sent late could use the time twice.
            enter(Phase.READING, responses == 0 ? openedAt : now);
        }
    }

    /** A request is here, whole and in order. False if the connection cannot take it now. */
    boolean beginRequest() {
        boolean accepted = phase == Phase.READING;
        if (accepted) {
            phase = Phase.ANSWERING;
        }
        return accepted;
    }

    /** Its answer has been handed to the socket, and is not the last one. */
    void responseWritten(double now, boolean result) {
        if (phase == Phase.ANSWERING) {
            enter(Phase.WAITING, now);
            responses++;
            resultsServed += result ? 1 : 0;
        }
    }

    /** The last answer is written. True once only, and never after the end. */
    boolean beginClosing(double now) {
        boolean first = takesRequests();
        if (first) {
            enter(Phase.CLOSING, now);
        }
        return first;
    }

    /** The socket is shut for writing, with the last answer on it. True once only. */
    boolean beginLingering(double now) {
        boolean first = phase == Phase.CLOSING;
        if (first) {
            enter(Phase.LINGERING, now);
        }
        return first;
    }

    void closed() {
        phase = Phase.CLOSED;
    }

    private void enter(Phase next, double now) {
        phase = next;
        since = now;
    }

    /** Whether it is time to end the connection; {@code unread} tells that an answer waits to be written. */
    boolean isOverdue(double now, boolean unreadOutput) {
        double age = now - since;
        return switch (phase) {
            case WAITING ->
                age
                        >= (unreadOutput
                                ? UNREAD_OUTPUT_TIMEOUT_MILLIS
                                : resultsServed == 0 ? READ_TIMEOUT_MILLIS : IDLE_TIMEOUT_MILLIS);
            case READING -> age >= READ_TIMEOUT_MILLIS;
            case CLOSING -> age >= UNREAD_OUTPUT_TIMEOUT_MILLIS;
            case LINGERING -> age >= LINGER_MILLIS;
            case ANSWERING, CLOSED -> false;
        };
    }

    /** Whether it may make way for another connection: nothing that was taken is lost by it. */
    boolean isIdle() {
        return phase == Phase.WAITING;
    }

    /** Whether nothing has come since its last answer for so long that nothing is on its way either. */
    boolean isQuiet(double now) {
        return phase == Phase.WAITING && now - since >= QUIET_MILLIS;
    }

    /** Whether the client has had its time to see that the connection ends, at this front's own end. */
    boolean hasLingered(double now) {
        return phase == Phase.LINGERING && now - since >= QUIET_MILLIS;
    }

    /** How much a connection that may make way deserves to stay: the least makes way first. */
    int resultsServed() {
        return resultsServed;
    }
}
