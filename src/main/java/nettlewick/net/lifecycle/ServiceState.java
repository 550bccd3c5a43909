package nettlewick.net.lifecycle;

/**
 * What this process does for clients: the one place that knows whether it is drained by hand, ending, or
 * handing over to a successor.
 * Holds no socket. Any thread may ask or tell; times are the caller's, in milliseconds.
 */
public final class ServiceState {
    /** SHUTTING: nothing more is taken; idle connections are closed, others with their answer. */
    enum Phase {
        STARTING,
        SERVING,
        DRAINED,
        SHUTTING_DOWN,
        HANDING_OVER,
        CLOSING
    }

    /**
     * After a drain the front learns of it within 0.1 s and connections come for 0.2 s more. Danger: closed
     * sooner, an idle one may cut off a job just sent; 4 s after the call none may be left.
     */
    public static final double IDLE_CLOSE_DELAY_MILLIS = 600;

    private Phase phase = Phase.STARTING;
    private double drainedAt;

    /** All is there: clients may come. */
    public synchronized void startServing() {
        phase = phase == Phase.STARTING ? Phase.SERVING : phase;
    }

    /** Sends clients away; again and again is the same as once. False while this process starts or ends. */
    public synchronized boolean drain(double now) {
        if (phase == Phase.SERVING) {
            phase = Phase.DRAINED;
            drainedAt = now;
        }
        return phase == Phase.DRAINED;
    }

    /** Undoes a drain. False if this process ends. */
    public synchronized boolean resume() {
        phase = phase == Phase.DRAINED ? Phase.SERVING : phase;
        return phase == Phase.SERVING || phase == Phase.STARTING;
    }

    /** The planned end has begun; a successor on the same address takes new clients meanwhile. */
    public synchronized void beginShutdown(boolean hasSuccessor) {
        phase = phase == Phase.CLOSING ? phase : hasSuccessor ? Phase.HANDING_OVER : Phase.SHUTTING_DOWN;
    }

    /** The planned end is at its last step. */
    public synchronized void closeConnections() {
        phase = Phase.CLOSING;
    }

    /** Whether clients are welcome. */
    public synchronized boolean isServing() {
        return phase == Phase.SERVING;
    }

    /**
     * Whether {@code /_health} may say yes. Danger: a process that hands over shares its address with its
     * successor; a no would turn the front away from both.
     */
    public synchronized boolean isHealthy() {
        return phase == Phase.STARTING || phase == Phase.SERVING || phase == Phase.HANDING_OVER;
    }

    /** Whether clients are being sent away. */
    public synchronized boolean leaving() {
        return phase != Phase.SERVING && phase != Phase.STARTING;
    }

    /** Whether every answer closes its connection. */
    public synchronized boolean closesAfterResponse() {
        return phase == Phase.DRAINED || phase == Phase.HANDING_OVER || phase == Phase.CLOSING;
    }

    /** Whether idle connections are closed. */
    public synchronized boolean closesIdleConnections(double now) {
        return phase == Phase.CLOSING || phase == Phase.DRAINED && now - drainedAt >= IDLE_CLOSE_DELAY_MILLIS;
    }
}
