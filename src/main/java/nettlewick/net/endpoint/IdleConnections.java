package nettlewick.net.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** Connections that carry nothing: the newest is reused first, and none that has idled too long. */
final class IdleConnections<T> {
    private record IdleConnection<T>(T connection, double idleSince) {}

    private final Deque<IdleConnection<T>> idle = new ArrayDeque<>();
    private final DoubleSupplier timeoutMillis;
    private final Consumer<T> closer;

    /**
     * @param patience milliseconds of idling; well below the time at which the runner's side closes, since a
     *                 request on a connection closed by then ends as a reset that a mark-submit cannot repeat
     */
    IdleConnections(DoubleSupplier timeoutMillis, Consumer<T> closer) {
        this.timeoutMillis = timeoutMillis;
        this.closer = closer;
    }

    void put(T connection, double now) {
        idle.addLast(new IdleConnection<>(connection, now));
    }

    /** The connection used last; null if none is young enough. */
    T take(double now) {
        return take(now, 0);
    }

    /** The connection used last of those that have rested for so many milliseconds; null for none. */
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

    /** Closes what has idled too long. */
    void expire(double now) {
        while (!idle.isEmpty() && now - idle.peekFirst().idleSince() >= timeoutMillis.getAsDouble()) {
            closer.accept(idle.pollFirst().connection());
        }
    }

    void remove(T connection) {
        idle.removeIf(i -> i.connection() == connection);
    }

    /** Closes the one that has idled longest; false if there is none. */
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
