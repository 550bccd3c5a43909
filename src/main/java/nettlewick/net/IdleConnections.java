package nettlewick.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** Connections that carry nothing: the newest is reused first, and none that has idled too long. */
final class IdleConnections<T> {
    private record Idle<T>(T link, double since) {}

    private final Deque<Idle<T>> idle = new ArrayDeque<>();
    private final DoubleSupplier patience;
    private final Consumer<T> close;

    /**
     * @param patience milliseconds of idling; well below the time at which the runner's side closes, since a
     *                 request on a connection closed by then ends as a reset that a mark-submit cannot repeat
     */
    IdleConnections(DoubleSupplier patience, Consumer<T> close) {
        this.patience = patience;
        this.close = close;
    }

    void put(T link, double now) {
        idle.addLast(new Idle<>(link, now));
    }

    /** The connection used last; null if none is young enough. */
    T take(double now) {
        return take(now, 0);
    }

    /** The connection used last of those that have rested for so many milliseconds; null for none. */
    T take(double now, double rest) {
        expire(now);
        for (Iterator<Idle<T>> newestFirst = idle.descendingIterator(); newestFirst.hasNext(); ) {
            Idle<T> one = newestFirst.next();
            if (now - one.since() >= rest) {
                newestFirst.remove();
                return one.link();
            }
        }
        return null;
    }

    /** Closes what has idled too long. */
    void expire(double now) {
        while (!idle.isEmpty() && now - idle.peekFirst().since() >= patience.getAsDouble()) {
            close.accept(idle.pollFirst().link());
        }
    }

    void remove(T link) {
        idle.removeIf(i -> i.link() == link);
    }

    /** Closes the one that has idled longest; false if there is none. */
    boolean closeOldest() {
        Idle<T> oldest = idle.pollFirst();
        if (oldest != null) {
            close.accept(oldest.link());
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
