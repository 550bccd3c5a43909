package nettlewick.net.client;

/**
 * The states of one client connection and its timeout in each. Holds no socket, so that tests can compare it
 * with a model; the caller passes times in milliseconds.
 *
 * <pre>
 * WAITING ---bytes--> READING ---begin--> ANSWERING ---response--> WAITING
 *    |                   |                    |
 *    |                   +-------close--------+--close--> CLOSING --linger--> LINGERING --closed--> CLOSED
 *    +---------------------closed----------------------------------------------------------------------^
 * </pre>
 *
 * <p>An event that a state does not name leaves it unchanged. From CLOSING on no request is accepted any more.
 */
final class ClientConnectionState {
    /** The phases of a connection. */
    enum Phase {
        /** Idle: everything received is answered. */
        WAITING,
        /** A request is being read. */
        READING,
        /** One request is in flight. */
        ANSWERING,
        /** The last response has been written but not flushed to the socket. */
        CLOSING,
        /** Shut for writing; what still arrives is read and discarded. */
        LINGERING,
        CLOSED
    }

    /**
     * Time from connecting, or from a later request's first byte, to its last byte. Bounded, since a client
     * that sends nothing or a byte now and then would hold its connection for ever.
     */
    static final double READ_TIMEOUT_MILLIS = 2400;
    /**
     * Idle time of a connection that was served before; one that was served nothing has {@link
     * #READ_TIMEOUT_MILLIS}.
     */
    static final double IDLE_TIMEOUT_MILLIS = 60_000;
    /** Time from the end of writing to the close, in which the client can read its last response. */
    static final double LINGER_MILLIS = 1000;

    /** During a graceful shutdown, a client that keeps sending has sent its next request by then. */
    static final double QUIET_MILLIS = 200;

    private final double openedAt;
    private final OutputTimeouts outputTimeouts;
    private Phase phase = Phase.WAITING;
    private double since;
    /** When the socket last accepted bytes of a response. */
    private double lastOutputAt = Double.NEGATIVE_INFINITY;

    private int responses;
    private int resultsServed;

    ClientConnectionState(double now, OutputTimeouts outputTimeouts) {
        openedAt = now;
        this.outputTimeouts = outputTimeouts;
        since = now;
    }

    Phase phase() {
        return phase;
    }

    /** Whether requests are still accepted from this connection. */
    boolean takesRequests() {
        return phase == Phase.WAITING || phase == Phase.READING || phase == Phase.ANSWERING;
    }

    /** Bytes of a request have arrived. */
    void bytesReceived(double now) {
        if (phase == Phase.WAITING) {
            // Counted from connecting: counted from its first byte, a late first request could use the time
            // twice.
            enter(Phase.READING, responses == 0 ? openedAt : now);
        }
    }

    /** A complete request starts; returns false if the connection cannot accept it now. */
    boolean beginRequest() {
        boolean accepted = phase == Phase.READING;
        if (accepted) {
            phase = Phase.ANSWERING;
        }
        return accepted;
    }

    /** The response to the request in flight is written, and is not the last one. */
    void responseWritten(double now, boolean result) {
        if (phase == Phase.ANSWERING) {
            enter(Phase.WAITING, now);
            responses++;
            resultsServed += result ? 1 : 0;
        }
    }

    /** The last response is written; returns true the first time only, and never after the end. */
    boolean beginClosing(double now) {
        boolean first = takesRequests();
        if (first) {
            enter(Phase.CLOSING, now);
        }
        return first;
    }

    /** The socket is shut for writing after the last response; returns true the first time only. */
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

    /** The socket has accepted bytes of a response that was waiting to be written. */
    void outputProgressed(double now) {
        lastOutputAt = now;
    }

    private void enter(Phase next, double now) {
        phase = next;
        since = now;
    }

    /**
     * Whether the connection is to be ended now.
     *
     * @param unreadOutput whether a response is waiting to be written
     */
    boolean isOverdue(double now, boolean unreadOutput) {
        double age = now - since;
        return switch (phase) {
            case WAITING ->
                unreadOutput
                        ? isOutputOverdue(now)
                        : age >= (resultsServed == 0 ? READ_TIMEOUT_MILLIS : IDLE_TIMEOUT_MILLIS);
            case READING -> age >= READ_TIMEOUT_MILLIS;
            case CLOSING -> isOutputOverdue(now);
            case LINGERING -> age >= LINGER_MILLIS;
            case ANSWERING, CLOSED -> false;
        };
    }

    private boolean isOutputOverdue(double now) {
        double stalledSince = Math.max(since, lastOutputAt);
        return now - stalledSince >= outputTimeouts.stallMillis() || now - since >= outputTimeouts.totalMillis();
    }

    /** Whether it may be closed for another connection without losing an accepted request. */
    boolean isIdle() {
        return phase == Phase.WAITING;
    }

    /** Whether it has been idle for so long that no request is likely to be on its way. */
    boolean isQuiet(double now) {
        return phase == Phase.WAITING && now - since >= QUIET_MILLIS;
    }

    /** Whether the client has had time to see that the connection ends. */
    boolean hasLingered(double now) {
        return phase == Phase.LINGERING && now - since >= QUIET_MILLIS;
    }

    /** How many requests were served with a result; connections with the fewest are evicted first. */
    int resultsServed() {
        return resultsServed;
    }
}
