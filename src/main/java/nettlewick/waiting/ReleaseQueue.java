package nettlewick.waiting;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides when jobs that are ready are released to the decision module, and in which order. The decision module
 * chooses the endpoint, retries and rejects. Does no I/O and reads no clock; times are in milliseconds. Confined to one
 * thread.
 *
 * <p>Order: deficit round robin over tenants; within a tenant the greatest {@code weight x (1 + waited / aging)}.
 * Rate: a window limits the released jobs in flight; it grows by one for each window of served jobs and halves on a
 * rejection.
 */
public final class ReleaseQueue {
    /** The window never closes: a job has to be released to detect that there is capacity again. */
    private static final double MIN_WINDOW = 1;

    /** A queued job; {@code work} is its estimated work in slot-milliseconds, above 0. */
    private record QueuedJob(String id, String tenant, double weight, double work, double readyAt) {}

    private static final class TenantQueue {
        /** By weight; among jobs of the same weight the oldest is the first. */
        final TreeMap<Double, Deque<QueuedJob>> byWeight = new TreeMap<>();

        double deficit;
        int size;
    }

    private final double agingMillis;
    private final double quantum;
    private final double maxWindow;
    private final Map<String, TenantQueue> queues = new HashMap<>();
    /** Tenants that have queued jobs, in the order of their turns. */
    private final Deque<String> roundRobin = new ArrayDeque<>();

    private final Map<String, QueuedJob> inFlight = new HashMap<>();
    private double window;
    private double halvedUntil = Double.NEGATIVE_INFINITY;

    /**
     * Creates an empty queue.
     *
     * @param agingMillis the wait after which a job's weight has doubled; infinite for no aging
     * @param quantum     the slot-milliseconds that a tenant gets in its turn, above 0
     * @param window      the jobs that may be in flight at first
     * @param maxWindow   the jobs that may be in flight at any time
     */
    public ReleaseQueue(double agingMillis, double quantum, double window, double maxWindow) {
        if (!(agingMillis > 0 && quantum > 0 && window >= MIN_WINDOW && maxWindow >= window)) {
            throw new IllegalArgumentException("invalid release queue: aging " + agingMillis + " ms, quantum " + quantum
                    + ", window " + window + " to " + maxWindow);
        }
        this.agingMillis = agingMillis;
        this.quantum = quantum;
        this.window = window;
        this.maxWindow = maxWindow;
    }

    /** Adds a job that is ready since {@code readyAt}. */
    public void add(String id, String tenant, double weight, double work, double readyAt) {
        enqueue(new QueuedJob(id, tenant, weight, Math.max(1e-3, work), readyAt));
    }

    private void enqueue(QueuedJob job) {
        TenantQueue queue = queues.get(job.tenant());
        if (queue == null) {
            queue = new TenantQueue();
            queues.put(job.tenant(), queue);
            roundRobin.add(job.tenant());
        }
        Deque<QueuedJob> sameWeight = queue.byWeight.computeIfAbsent(job.weight(), weight -> new ArrayDeque<>());
        // A rejected job that returns is older than others of its weight: it is inserted by age.
        if (!sameWeight.isEmpty() && sameWeight.peekLast().readyAt() > job.readyAt()) {
            List<QueuedJob> ordered = new ArrayList<>(sameWeight);
            int index = ordered.size();
            while (index > 0 && ordered.get(index - 1).readyAt() > job.readyAt()) {
                index--;
            }
            ordered.add(index, job);
            sameWeight.clear();
            sameWeight.addAll(ordered);
        } else {
            sameWeight.add(job);
        }
        queue.size++;
    }

    /** Removes a queued job; false if it is not queued. */
    public boolean remove(String id, String tenant) {
        TenantQueue queue = queues.get(tenant);
        if (queue == null) {
            return false;
        }
        for (Deque<QueuedJob> sameWeight : queue.byWeight.values()) {
            if (sameWeight.removeIf(job -> job.id().equals(id))) {
                jobRemoved(tenant, queue);
                return true;
            }
        }
        return false;
    }

    private void jobRemoved(String tenant, TenantQueue queue) {
        queue.byWeight.values().removeIf(Deque::isEmpty);
        if (--queue.size == 0) {
            // A tenant without queued jobs accumulates no deficit.
            queues.remove(tenant);
            roundRobin.remove(tenant);
        }
    }

    /** Removes and returns the jobs that are released now, in their order. */
    public List<String> release(double now) {
        List<String> released = new ArrayList<>();
        while (!roundRobin.isEmpty() && inFlight.size() + 1 <= window) {
            String tenant = roundRobin.peek();
            TenantQueue queue = queues.get(tenant);
            QueuedJob next = highestPriority(queue, now);
            if (queue.deficit < next.work()) {
                queue.deficit += quantum;
                roundRobin.add(roundRobin.poll());
                continue;
            }
            queue.deficit -= next.work();
            queue.byWeight.get(next.weight()).poll();
            inFlight.put(next.id(), next);
            released.add(next.id());
            jobRemoved(tenant, queue);
        }
        return released;
    }

    /** The oldest job of the weight whose aged weight is the highest now. */
    private QueuedJob highestPriority(TenantQueue queue, double now) {
        QueuedJob best = null;
        double highestWeight = Double.NEGATIVE_INFINITY;
        for (Deque<QueuedJob> sameWeight : queue.byWeight.values()) {
            QueuedJob oldest = sameWeight.peek();
            double agedWeight = oldest.weight() * (1 + Math.max(0, now - oldest.readyAt()) / agingMillis);
            if (agedWeight > highestWeight || agedWeight == highestWeight && oldest.readyAt() < best.readyAt()) {
                highestWeight = agedWeight;
                best = oldest;
            }
        }
        return best;
    }

    /** A released job is finished, other than by a rejection. */
    public void jobFinished(String id, boolean served) {
        if (inFlight.remove(id) != null && served) {
            window = Math.min(maxWindow, window + 1 / window);
        }
    }

    /**
     * The decision module has rejected a job. The job is queued again with its age, and the window halves, but not
     * again until the retry delay of the rejection is over.
     */
    public void jobRejected(String id, double retryAfter, double now) {
        QueuedJob job = inFlight.remove(id);
        if (job == null) {
            return;
        }
        if (now >= halvedUntil) {
            window = Math.max(MIN_WINDOW, window / 2);
            halvedUntil = now + retryAfter;
        }
        enqueue(job);
    }

    /** The number of jobs that may be in flight now. */
    public double window() {
        return window;
    }

    /** The number of queued jobs. */
    public int size() {
        return queues.values().stream().mapToInt(queue -> queue.size).sum();
    }

    /**
     * An upper bound of the time that a job is queued: no job that was added {@code weightRatio x agingMillis} after it
     * can overtake it, and the jobs before it are released in turns.
     *
     * @param weightRatio  the greatest weight divided by the least
     * @param tenants      the number of tenants with queued jobs
     * @param tenantWork   slot-milliseconds of the same tenant that are queued when the job is added, or are added while
     *                     they can still overtake it
     * @param largestWork  slot-milliseconds of the largest job
     * @param workPerMilli slot-milliseconds that are released in each millisecond, at least
     */
    public static double maxWaitMillis(
            double agingMillis,
            double weightRatio,
            int tenants,
            double tenantWork,
            double largestWork,
            double quantum,
            double workPerMilli) {
        // Each round gives the tenant one quantum. Rounds are whole, and each tenant may exceed its quantum by one job.
        double rounds = Math.ceil((tenantWork + largestWork) / quantum) + 1;
        return (weightRatio - 1) * agingMillis + rounds * tenants * (quantum + largestWork) / workPerMilli;
    }
}
