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
    public record Config(
            int slots,
            int queueCapacity,
            double slowStartMillis,
            double initialSpeedFraction,
            double overloadFactor,
            double overloadMillis,
            double maxReportAgeMillis,
            boolean cancelsOnDisconnect) {}

    /** What becomes of a job that comes. */
    public enum Admission {
        RUNS,
        WAITS,
        FULL,
        DRAINS
    }

    /** A job that begins to run, and for how long. */
    public record StartedRequest(String id, double millis) {}

    private record Waiting(String id, double work) {}

    private record Offered(double at, double work) {}

    public final String name;
    public final String zone;
    public final int slots;
    public final double speed;
    final Config config;
    private final Set<String> running = new HashSet<>();
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final Deque<Offered> offered = new ArrayDeque<>();
    private double offeredWork;
    private double startedAt;
    /** A step's factor: the runner is so many times slower. */
    private double slowed = 1;

    private boolean draining;
    private boolean isUp = true;
    private boolean isOverloaded;

    /** @param bornAt when it started; negative infinity for one that is warm */
    public EndpointModel(String name, String zone, double speed, Config kind, double bornAt) {
        this.name = name;
        this.zone = zone;
        this.speed = speed;
        this.config = kind;
        this.startedAt = bornAt;
        slots = kind.slots();
    }

    /** Takes a job of that much work; {@code begun} gets those that begin to run. */
    public synchronized Admission offer(String id, double work, double now, List<StartedRequest> begun) {
        weigh(work, now);
        if (draining) {
            return Admission.DRAINS;
        }
        if (running.size() < slots) {
            begin(new Waiting(id, work), now, begun);
            return Admission.RUNS;
        }
        if (queue.size() < config.queueCapacity()) {
            queue.add(new Waiting(id, work));
            return Admission.WAITS;
        }
        return Admission.FULL;
    }

    private void begin(Waiting job, double now, List<StartedRequest> begun) {
        running.add(job.id());
        begun.add(new StartedRequest(job.id(), job.work() / speedAt(now)));
    }

    /** A job has ended or is called off; a slot that comes free is filled from the queue. */
    public synchronized void finish(String id, double now, List<StartedRequest> begun) {
        if (!running.remove(id)) {
            queue.removeIf(w -> w.id().equals(id));
            return;
        }
        if (isUp && !queue.isEmpty()) {
            begin(queue.poll(), now, begun);
        }
    }

    /** Work that a cold runner is offered, refused or not, in the time in which it may be pushed over. */
    private void weigh(double work, double now) {
        offered.add(new Offered(now, work));
        offeredWork += work;
        while (offered.peek().at() < now - config.overloadMillis()) {
            offeredWork -= offered.poll().work();
        }
        double cap = config.overloadFactor() * slots * speedAt(now) * config.overloadMillis();
        // A little room for chance, as one job of four times the mean may be.
        if (inSlowStart(now) && offeredWork > cap + 4 * offeredWork / offered.size()) {
            isOverloaded = true;
        }
    }

    private double speedAt(double now) {
        double age = now - startedAt;
        double warm = config.slowStartMillis() <= 0 || age >= config.slowStartMillis()
                ? 1
                : config.initialSpeedFraction()
                        + (1 - config.initialSpeedFraction()) * Math.max(0, age) / config.slowStartMillis();
        return speed * warm / slowed;
    }

    public synchronized boolean inSlowStart(double now) {
        return now - startedAt < config.slowStartMillis();
    }

    /** The process dies; what ran or waited is lost, and comes back as a list of ids. */
    public synchronized List<String> crash() {
        isUp = false;
        List<String> lost = new ArrayList<>(running);
        queue.forEach(w -> lost.add(w.id()));
        running.clear();
        queue.clear();
        return lost;
    }

    /** Starts again, cold. */
    public synchronized void start(double now) {
        isUp = true;
        isOverloaded = false;
        draining = false;
        startedAt = now;
        offered.clear();
        offeredWork = 0;
    }

    public synchronized void drain() {
        draining = true;
    }

    public synchronized void setSlowdown(double factor) {
        slowed = factor;
    }

    public synchronized boolean isUp() {
        return isUp;
    }

    /** Whether it takes jobs at all. */
    public synchronized boolean acceptsRequests() {
        return isUp && !draining && !isOverloaded;
    }

    public synchronized boolean isOverloaded() {
        return isOverloaded;
    }

    public synchronized int runningCount() {
        return running.size();
    }

    public synchronized int queuedCount() {
        return queue.size();
    }

    /** Slots in use and waiting, over slots. */
    public synchronized double load() {
        return (running.size() + queue.size()) / (double) slots;
    }

    public double startedAt() {
        return startedAt;
    }
}
