package nettlewick.waiting;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * When jobs that wait for nothing any more are handed in, and in which order. Which runner gets one, whether
 * it is
 * tried again and what is turned away stays the decision module's. Does no I/O and reads no clock; times are
 * in
 * milliseconds. Belongs to one thread.
 *
 * <p>Order: deficit round robin over members; inside a member the greatest {@code worth x (1 + waited /
 * age)}.
 * Pace: a window of jobs that are out, which grows by one for each window served and halves on a refusal.
 */
public final class ReleaseQueue {
    /** The window never closes: somebody has to find out when there is room again. */
    private static final double MIN_WINDOW = 1;

    /** A job at the gate; {@code size} is its work as guessed, in slot-milliseconds, above 0. */
    private record QueuedJob(String id, String tenant, double weight, double work, double readyAt) {}

    private static final class TenantQueue {
        /** By worth: within one worth the oldest is always the first. */
        final TreeMap<Double, Deque<QueuedJob>> byWeight = new TreeMap<>();

        double deficit;
        int size;
    }

    private final double agingMillis;
    private final double quantum;
    private final double maxWindow;
    private final Map<String, TenantQueue> queues = new HashMap<>();
    /** Members that have jobs here, in the order of their turns. */
    private final Deque<String> roundRobin = new ArrayDeque<>();

    private final Map<String, QueuedJob> inFlight = new HashMap<>();
    private double window;
    private double halvedUntil = Double.NEGATIVE_INFINITY;

    /**
     * @param age     after how many milliseconds a job's worth has doubled; infinite: worth does not age
     * @param quantum slot-milliseconds that a member gets in its turn, above 0
     * @param window  jobs that may be out at first, and {@code most} at any time
     */
    public ReleaseQueue(double agingMillis, double quantum, double window, double maxWindow) {
        if (!(agingMillis > 0 && quantum > 0 && window >= MIN_WINDOW && maxWindow >= window)) {
            throw new IllegalArgumentException("a gate of age " + agingMillis + ", quantum " + quantum + ", window "
                    + window + " to " + maxWindow);
        }
        this.agingMillis = agingMillis;
        this.quantum = quantum;
        this.window = window;
        this.maxWindow = maxWindow;
    }

    /** A job is ready since then. */
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
        // One that comes back from the core is older than those behind it: it goes to its place by age.
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

    /** Takes a job away that is at the gate; false if it is not. */
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
            // A member that has nothing here saves no turns up.
            queues.remove(tenant);
            roundRobin.remove(tenant);
        }
    }

    /** The jobs that are handed in now, in their order. */
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

    /** Of the oldest of each worth, the one whose worth has grown the most by now. */
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

    /** A job that was handed in has its end, and not for want of room. */
    public void jobFinished(String id, boolean served) {
        if (inFlight.remove(id) != null && served) {
            window = Math.min(maxWindow, window + 1 / window);
        }
    }

    /**
     * The module has turned a job away: it comes back to the gate with its age, and the window halves, once
     * until
     * the time has passed that the refusal names.
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

    /** Jobs that may be out now. */
    public double window() {
        return window;
    }

    /** Jobs at the gate. */
    public int size() {
        return queues.values().stream().mapToInt(queue -> queue.size).sum();
    }

    /**
     * The longest that a job can be at the gate, in milliseconds: no job that came {@code worths x age} after
     * it passes
     * it any more, and what is there before it is served by turns.
     *
     * @param worths  greatest worth by the least
     * @param members how many members have jobs here
     * @param work slot-milliseconds of its own member that may be at the gate when it comes, and that come
     * while
     *                it can still be passed
     * @param largest slot-milliseconds of the largest job
     * @param pace    slot-milliseconds that are handed in each millisecond, at least
     */
    public static double maxWaitMillis(
            double agingMillis,
            double weightRatio,
            int tenants,
            double tenantWork,
            double largestWork,
            double quantum,
            double workPerMilli) {
        // By turns its member gets, of each round of quantum for all, its own; rounds are whole, and each
        // member may
        // overdraw its turn by one job.
        double rounds = Math.ceil((tenantWork + largestWork) / quantum) + 1;
        return (weightRatio - 1) * agingMillis + rounds * tenants * (quantum + largestWork) / workPerMilli;
    }
}
