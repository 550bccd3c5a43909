package nettlewick.stubs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Model of an endpoint: slots, a bounded queue in the order of arrival, a speed, a slow start, and a crash when it is
 * overloaded during slow start. Does no I/O and reads no clock: times are arguments, in milliseconds, and the caller
 * finishes each request when it is due.
 */
public final class EndpointModel {
    /**
     * The properties of an endpoint.
     *
     * @param slots                requests that are executed at once
     * @param queueCapacity        requests that may wait for a slot
     * @param slowStartMillis      the length of the slow start; 0 for none
     * @param initialSpeedFraction the fraction of its speed that an endpoint starts with
     * @param overloadFactor       offered work, as a multiple of the capacity, that overloads an endpoint in slow start
     *                             if it lasts for {@code overloadMillis}
     * @param maxReportAgeMillis   how old a load report may be when it is sent
     * @param cancelsOnDisconnect  whether a request is cancelled when its client closes the connection
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

    /** The decision on an offered request. */
    public enum Admission {
        /** Executed at once. */
        RUNS,
        /** Queued for a slot. */
        WAITS,
        /** Rejected: the queue is full. */
        FULL,
        /** Rejected: the endpoint is draining. */
        DRAINS
    }

    /** A request whose execution starts, and its execution time. */
    public record StartedRequest(String id, double millis) {}

    private record QueuedRequest(String id, double work) {}

    private record OfferedWork(double offeredAt, double work) {}

    public final String name;
    public final String zone;
    public final int slots;
    public final double speed;
    final Config config;
    private final Set<String> running = new HashSet<>();
    private final Deque<QueuedRequest> queue = new ArrayDeque<>();
    private final Deque<OfferedWork> recentOffers = new ArrayDeque<>();
    private double recentOfferedWork;
    private double startedAt;
    /** By this factor the endpoint is slower than its speed. */
    private double slowdownFactor = 1;

    private boolean draining;
    private boolean isUp = true;
    private boolean isOverloaded;

    /**
     * Creates an endpoint that is up.
     *
     * @param startedAt negative infinity for an endpoint that is past its slow start
     */
    public EndpointModel(String name, String zone, double speed, Config kind, double bornAt) {
        this.name = name;
        this.zone = zone;
        this.speed = speed;
        this.config = kind;
        this.startedAt = bornAt;
        slots = kind.slots();
    }

    /** Offers a request to the endpoint, and adds it to {@code started} if its execution starts. */
    public synchronized Admission offer(String id, double work, double now, List<StartedRequest> started) {
        recordOfferedWork(work, now);
        if (draining) {
            return Admission.DRAINS;
        }
        if (running.size() < slots) {
            startRequest(new QueuedRequest(id, work), now, started);
            return Admission.RUNS;
        }
        if (queue.size() < config.queueCapacity()) {
            queue.add(new QueuedRequest(id, work));
            return Admission.WAITS;
        }
        return Admission.FULL;
    }

    private void startRequest(QueuedRequest request, double now, List<StartedRequest> started) {
        running.add(request.id());
        started.add(new StartedRequest(request.id(), request.work() / speedAt(now)));
    }

    /** Removes a request that is finished or cancelled; a freed slot goes to the first request of the queue. */
    public synchronized void finish(String id, double now, List<StartedRequest> started) {
        if (!running.remove(id)) {
            queue.removeIf(queued -> queued.id().equals(id));
            return;
        }
        if (isUp && !queue.isEmpty()) {
            startRequest(queue.poll(), now, started);
        }
    }

    /** Adds to the work offered within {@code overloadMillis}, admitted or not, and checks it for an overload. */
    private void recordOfferedWork(double work, double now) {
        recentOffers.add(new OfferedWork(now, work));
        recentOfferedWork += work;
        while (recentOffers.peek().offeredAt() < now - config.overloadMillis()) {
            recentOfferedWork -= recentOffers.poll().work();
        }
        double maxWork = config.overloadFactor() * slots * speedAt(now) * config.overloadMillis();
        // Four mean requests of tolerance, so that one large request is no overload.
        if (inSlowStart(now) && recentOfferedWork > maxWork + 4 * recentOfferedWork / recentOffers.size()) {
            isOverloaded = true;
        }
    }

    private double speedAt(double now) {
        double age = now - startedAt;
        double warmUpFraction = config.slowStartMillis() <= 0 || age >= config.slowStartMillis()
                ? 1
                : config.initialSpeedFraction()
                        + (1 - config.initialSpeedFraction()) * Math.max(0, age) / config.slowStartMillis();
        return speed * warmUpFraction / slowdownFactor;
    }

    public synchronized boolean inSlowStart(double now) {
        return now - startedAt < config.slowStartMillis();
    }

    /** Takes the endpoint down and returns the ids of the requests that are lost. */
    public synchronized List<String> crash() {
        isUp = false;
        List<String> lost = new ArrayList<>(running);
        queue.forEach(queued -> lost.add(queued.id()));
        running.clear();
        queue.clear();
        return lost;
    }

    /** Starts the endpoint again, in slow start. */
    public synchronized void start(double now) {
        isUp = true;
        isOverloaded = false;
        draining = false;
        startedAt = now;
        recentOffers.clear();
        recentOfferedWork = 0;
    }

    public synchronized void drain() {
        draining = true;
    }

    public synchronized void setSlowdown(double factor) {
        slowdownFactor = factor;
    }

    public synchronized boolean isUp() {
        return isUp;
    }

    /** Whether it is up, not draining and not overloaded. */
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

    /** Running and queued requests per slot. */
    public synchronized double load() {
        return (running.size() + queue.size()) / (double) slots;
    }

    public double startedAt() {
        return startedAt;
    }
}
