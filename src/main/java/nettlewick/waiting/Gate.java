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
public final class Gate {
    /** The window never closes: somebody has to find out when there is room again. */
    private static final double LEAST = 1;

    /** A job at the gate; {@code size} is its work as guessed, in slot-milliseconds, above 0. */
    private record Waiting(String id, String member, double worth, double size, double since) {}

    private static final class Queue {
        /** By worth: within one worth the oldest is always the first. */
        final TreeMap<Double, Deque<Waiting>> byWorth = new TreeMap<>();

        double deficit;
        int size;
    }

    private final double age;
    private final double quantum;
    private final double most;
    private final Map<String, Queue> queues = new HashMap<>();
    /** Members that have jobs here, in the order of their turns. */
    private final Deque<String> turns = new ArrayDeque<>();

    private final Map<String, Waiting> out = new HashMap<>();
    private double window;
    private double halvedUntil = Double.NEGATIVE_INFINITY;

    /**
     * @param age     after how many milliseconds a job's worth has doubled; infinite: worth does not age
     * @param quantum slot-milliseconds that a member gets in its turn, above 0
     * @param window  jobs that may be out at first, and {@code most} at any time
     */
    public Gate(double age, double quantum, double window, double most) {
        if (!(age > 0 && quantum > 0 && window >= LEAST && most >= window)) {
            throw new IllegalArgumentException(
                    "a gate of age " + age + ", quantum " + quantum + ", window " + window + " to " + most);
        }
        this.age = age;
        this.quantum = quantum;
        this.window = window;
        this.most = most;
    }

    /** A job is ready since then. */
    public void add(String id, String member, double worth, double size, double since) {
        put(new Waiting(id, member, worth, Math.max(1e-3, size), since));
    }

    private void put(Waiting job) {
        Queue queue = queues.get(job.member());
        if (queue == null) {
            queue = new Queue();
            queues.put(job.member(), queue);
            turns.add(job.member());
        }
        Deque<Waiting> same = queue.byWorth.computeIfAbsent(job.worth(), w -> new ArrayDeque<>());
        // One that comes back from the core is older than those behind it: it goes to its place by age.
        if (!same.isEmpty() && same.peekLast().since() > job.since()) {
            List<Waiting> all = new ArrayList<>(same);
            int at = all.size();
            while (at > 0 && all.get(at - 1).since() > job.since()) {
                at--;
            }
            all.add(at, job);
            same.clear();
            same.addAll(all);
        } else {
            same.add(job);
        }
        queue.size++;
    }

    /** Takes a job away that is at the gate; false if it is not. */
    public boolean remove(String id, String member) {
        Queue queue = queues.get(member);
        if (queue == null) {
            return false;
        }
        for (Deque<Waiting> same : queue.byWorth.values()) {
            if (same.removeIf(w -> w.id().equals(id))) {
                taken(member, queue);
                return true;
            }
        }
        return false;
    }

    private void taken(String member, Queue queue) {
        queue.byWorth.values().removeIf(Deque::isEmpty);
        if (--queue.size == 0) {
            // A member that has nothing here saves no turns up.
            queues.remove(member);
            turns.remove(member);
        }
    }

    /** The jobs that are handed in now, in their order. */
    public List<String> take(double now) {
        List<String> handed = new ArrayList<>();
        while (!turns.isEmpty() && out.size() + 1 <= window) {
            String member = turns.peek();
            Queue queue = queues.get(member);
            Waiting next = first(queue, now);
            if (queue.deficit < next.size()) {
                queue.deficit += quantum;
                turns.add(turns.poll());
                continue;
            }
            queue.deficit -= next.size();
            queue.byWorth.get(next.worth()).poll();
            out.put(next.id(), next);
            handed.add(next.id());
            taken(member, queue);
        }
        return handed;
    }

    /** Of the oldest of each worth, the one whose worth has grown the most by now. */
    private Waiting first(Queue queue, double now) {
        Waiting best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (Deque<Waiting> same : queue.byWorth.values()) {
            Waiting oldest = same.peek();
            double worth = oldest.worth() * (1 + Math.max(0, now - oldest.since()) / age);
            if (worth > most || worth == most && oldest.since() < best.since()) {
                most = worth;
                best = oldest;
            }
        }
        return best;
    }

    /** A job that was handed in has its end, and not for want of room. */
    public void ended(String id, boolean served) {
        if (out.remove(id) != null && served) {
            window = Math.min(most, window + 1 / window);
        }
    }

    /**
     * The module has turned a job away: it comes back to the gate with its age, and the window halves, once
     * until
     * the time has passed that the refusal names.
     */
    public void refused(String id, double retryAfter, double now) {
        Waiting job = out.remove(id);
        if (job == null) {
            return;
        }
        if (now >= halvedUntil) {
            window = Math.max(LEAST, window / 2);
            halvedUntil = now + retryAfter;
        }
        put(job);
    }

    /** Jobs that may be out now. */
    public double window() {
        return window;
    }

    /** Jobs at the gate. */
    public int size() {
        return queues.values().stream().mapToInt(q -> q.size).sum();
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
    public static double bound(
            double age, double worths, int members, double work, double largest, double quantum, double pace) {
        // By turns its member gets, of each round of quantum for all, its own; rounds are whole, and each
        // member may
        // overdraw its turn by one job.
        double rounds = Math.ceil((work + largest) / quantum) + 1;
        return (worths - 1) * age + rounds * members * (quantum + largest) / pace;
    }
}
