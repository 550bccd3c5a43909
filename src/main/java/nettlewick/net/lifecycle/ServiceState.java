package nettlewick.net.lifecycle;

/**
 * Whether this process serves clients, is drained, shuts down or hands over to a successor. Holds no socket. Safe for
 * any thread; the caller passes times in milliseconds.
 */
public final class ServiceState {
    /**
     * The phases of a process. In CLOSING nothing more is accepted: idle connections are closed, and others after their
     * response.
     */
    enum Phase {
        STARTING,
        SERVING,
        DRAINED,
        SHUTTING_DOWN,
        HANDING_OVER,
        CLOSING
    }

    /**
     * How long idle connections stay open after a drain. The load balancer notices the drain within 0.1 s and
     * connections arrive for 0.2 s more; closing sooner could cut off a request just sent. No connection may be left
     * after 4 s.
     */
    public static final double IDLE_CLOSE_DELAY_MILLIS = 600;

    private Phase phase = Phase.STARTING;
    private double drainedAt;

    /** Records that the process is ready to serve clients. */
    public synchronized void startServing() {
        phase = phase == Phase.STARTING ? Phase.SERVING : phase;
    }

    /**
     * Drains the process; repeated calls have no further effect. Returns false while this process is starting or
     * shutting down.
     */
    public synchronized boolean drain(double now) {
        if (phase == Phase.SERVING) {
            phase = Phase.DRAINED;
            drainedAt = now;
        }
        return phase == Phase.DRAINED;
    }

    /** Undoes a drain; returns false if this process is shutting down. */
    public synchronized boolean resume() {
        phase = phase == Phase.DRAINED ? Phase.SERVING : phase;
        return phase == Phase.SERVING || phase == Phase.STARTING;
    }

    /**
     * Records that the graceful shutdown has begun.
     *
     * @param hasSuccessor whether another process accepts new clients at this address
     */
    public synchronized void beginShutdown(boolean hasSuccessor) {
        phase = phase == Phase.CLOSING ? phase : hasSuccessor ? Phase.HANDING_OVER : Phase.SHUTTING_DOWN;
    }

    /** Records that the graceful shutdown now closes all connections. */
    public synchronized void closeConnections() {
        phase = Phase.CLOSING;
    }

    /** Whether this process serves clients. */
    public synchronized boolean isServing() {
        return phase == Phase.SERVING;
    }

    /**
     * Whether {@code /_health} may succeed. A process that hands over shares its address with its successor; a failing
     * health check would make the load balancer avoid both.
     */
    public synchronized boolean isHealthy() {
        return phase == Phase.STARTING || phase == Phase.SERVING || phase == Phase.HANDING_OVER;
    }

    /** Whether this process is drained or shutting down. */
    public synchronized boolean isDrainingOrStopping() {
        return phase != Phase.SERVING && phase != Phase.STARTING;
    }

    /** Whether every response closes its connection. */
    public synchronized boolean closesAfterResponse() {
        return phase == Phase.DRAINED || phase == Phase.HANDING_OVER || phase == Phase.CLOSING;
    }

    /** Whether idle connections are closed. */
    public synchronized boolean closesIdleConnections(double now) {
        return phase == Phase.CLOSING || phase == Phase.DRAINED && now - drainedAt >= IDLE_CLOSE_DELAY_MILLIS;
    }
}
