package nettlewick.stubs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A sim runner: slots, a bounded queue in the order of arrival, a speed, a cold start, and falling over when
 * pushed while cold. Pure: time is handed in, in milliseconds; the caller ends each job when it is due.
 */
public final class EndpointModel {
    /**
     * What a runner is like; times in milliseconds.
     *
     * @param slots     jobs it runs at once
     * @param queue     jobs that wait
     * @param cold      how long it is cold after a start; 0: never
     * @param share     the part of its speed that a cold one starts with
     * @param factor    work offered over its capacity that pushes a cold one over, kept up for {@code fall}
     * @param reportAge how old its load report may be
     * @param cancel    whether it stops a job whose caller has closed the connection
     */
    public record Kind(
            int slots,
            int queue,
            double cold,
            double share,
            double factor,
            double fall,
            double reportAge,
            boolean cancel) {}

    /** What becomes of a job that comes. */
    public enum Taken {
        RUNS,
        WAITS,
        FULL,
        DRAINS
    }

    /** A job that begins to run, and for how long. */
    public record Begun(String id, double millis) {}

    private record Waiting(String id, double work) {}

    private record Offered(double at, double work) {}

    public final String name;
    public final String zone;
    public final int slots;
    public final double speed;
    final Kind kind;
    private final Set<String> running = new HashSet<>();
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final Deque<Offered> offered = new ArrayDeque<>();
    private double offeredWork;
    private double bornAt;
    /** A step's factor: the runner is so many times slower. */
    private double slowed = 1;

    private boolean draining;
    private boolean up = true;
    private boolean fallen;

    /** @param bornAt when it started; negative infinity for one that is warm */
    public EndpointModel(String name, String zone, double speed, Kind kind, double bornAt) {
        this.name = name;
        this.zone = zone;
        this.speed = speed;
        this.kind = kind;
        this.bornAt = bornAt;
        slots = kind.slots();
    }

    /** Takes a job of that much work; {@code begun} gets those that begin to run. */
    public synchronized Taken offer(String id, double work, double now, List<Begun> begun) {
        weigh(work, now);
        if (draining) {
            return Taken.DRAINS;
        }
        if (running.size() < slots) {
            begin(new Waiting(id, work), now, begun);
            return Taken.RUNS;
        }
        if (queue.size() < kind.queue()) {
            queue.add(new Waiting(id, work));
            return Taken.WAITS;
        }
        return Taken.FULL;
    }

    private void begin(Waiting job, double now, List<Begun> begun) {
        running.add(job.id());
        begun.add(new Begun(job.id(), job.work() / speedAt(now)));
    }

    /** A job has ended or is called off; a slot that comes free is filled from the queue. */
    public synchronized void end(String id, double now, List<Begun> begun) {
        if (!running.remove(id)) {
            queue.removeIf(w -> w.id().equals(id));
            return;
        }
        if (up && !queue.isEmpty()) {
            begin(queue.poll(), now, begun);
        }
    }

    /** Work that a cold runner is offered, refused or not, in the time in which it may be pushed over. */
    private void weigh(double work, double now) {
        offered.add(new Offered(now, work));
        offeredWork += work;
        while (offered.peek().at() < now - kind.fall()) {
            offeredWork -= offered.poll().work();
        }
        double cap = kind.factor() * slots * speedAt(now) * kind.fall();
        // A little room for chance, as one job of four times the mean may be.
        if (cold(now) && offeredWork > cap + 4 * offeredWork / offered.size()) {
            fallen = true;
        }
    }

    private double speedAt(double now) {
        double age = now - bornAt;
        double warm = kind.cold() <= 0 || age >= kind.cold()
                ? 1
                : kind.share() + (1 - kind.share()) * Math.max(0, age) / kind.cold();
        return speed * warm / slowed;
    }

    public synchronized boolean cold(double now) {
        return now - bornAt < kind.cold();
    }

    /** The process dies; what ran or waited is lost, and comes back as a list of ids. */
    public synchronized List<String> die() {
        up = false;
        List<String> lost = new ArrayList<>(running);
        queue.forEach(w -> lost.add(w.id()));
        running.clear();
        queue.clear();
        return lost;
    }

    /** Starts again, cold. */
    public synchronized void start(double now) {
        up = true;
        fallen = false;
        draining = false;
        bornAt = now;
        offered.clear();
        offeredWork = 0;
    }

    public synchronized void drain() {
        draining = true;
    }

    public synchronized void slow(double factor) {
        slowed = factor;
    }

    public synchronized boolean up() {
        return up;
    }

    /** Whether it takes jobs at all. */
    public synchronized boolean serves() {
        return up && !draining && !fallen;
    }

    public synchronized boolean fallen() {
        return fallen;
    }

    public synchronized int busy() {
        return running.size();
    }

    public synchronized int waiting() {
        return queue.size();
    }

    /** Slots in use and waiting, over slots. */
    public synchronized double load() {
        return (running.size() + queue.size()) / (double) slots;
    }

    public double bornAt() {
        return bornAt;
    }
}
