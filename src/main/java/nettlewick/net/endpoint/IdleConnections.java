package nettlewick.net.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** The idle connections to one endpoint: the newest is reused first, and none that has been idle for too long. */
final class IdleConnections<T> {
    private record IdleConnection<T>(T connection, double idleSince) {}

    private final Deque<IdleConnection<T>> idle = new ArrayDeque<>();
    private final DoubleSupplier timeoutMillis;
    private final Consumer<T> closer;

    /**
     * Creates an empty set.
     *
     * @param timeoutMillis how long a connection may be idle; well below the time at which the endpoint
     *     closes it, since a request on a connection closed by then ends in a reset and may not be repeatable
     * @param closer closes a connection that leaves the set unused
     */
    IdleConnections(DoubleSupplier timeoutMillis, Consumer<T> closer) {
        this.timeoutMillis = timeoutMillis;
        this.closer = closer;
    }

    void put(T connection, double now) {
        idle.addLast(new IdleConnection<>(connection, now));
    }

    /** Takes the connection used last; null if none is young enough. */
    T take(double now) {
        return take(now, 0);
    }

    /** Takes the connection used last among those idle for at least that many milliseconds; null for none. */
    T take(double now, double minIdleMillis) {
        expire(now);
        for (Iterator<IdleConnection<T>> newestFirst = idle.descendingIterator(); newestFirst.hasNext(); ) {
            IdleConnection<T> candidate = newestFirst.next();
            if (now - candidate.idleSince() >= minIdleMillis) {
                newestFirst.remove();
                return candidate.connection();
            }
        }
        return null;
    }

    /** Closes the connections that have been idle for too long. */
    void expire(double now) {
        while (!idle.isEmpty() && now - idle.peekFirst().idleSince() >= timeoutMillis.getAsDouble()) {
            closer.accept(idle.pollFirst().connection());
        }
    }

    void remove(T connection) {
        idle.removeIf(i -> i.connection() == connection);
    }

    /** Closes the connection that has been idle longest; false if there is none. */
    boolean closeOldest() {
        IdleConnection<T> oldest = idle.pollFirst();
        if (oldest != null) {
            closer.accept(oldest.connection());
        }
        return oldest != null;
    }

    void closeAll() {
        while (closeOldest()) {
            continue;
        }
    }

    int size() {
        return idle.size();
    }
}
