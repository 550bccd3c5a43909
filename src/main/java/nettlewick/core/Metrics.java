package nettlewick.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What operators count. Each figure is counted by whoever sees the thing happen, on any thread; readers get
 * an immutable copy. Counts start with the process, all classes at 0.
 */
public final class Metrics {
    /** How a job ended for its client. */
    public enum End {
        FULFILLED,
        THROTTLED,
        FAULTED
    }

    /**
     * All figures at one moment; {@code jobs} holds a count for each {@link End} in its order, {@code peers}
     * the peers' datagrams passed over by the module, by kind ({@code damaged}, {@code late},
     * {@code unlisted}).
     */
    public record Snapshot(
            Map<String, List<Long>> jobs, long relayed, int open, int listed, int avoided, Map<String, Long> peers) {}

    private final Map<String, AtomicLong[]> jobs = new LinkedHashMap<>();
    private final AtomicLong relayed = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();
    private volatile int listed;
    private volatile int avoided;
    private volatile Map<String, Long> peers = Map.of();

    Metrics(List<String> classes) {
        classes.forEach(
                name -> jobs.put(name, new AtomicLong[] {new AtomicLong(), new AtomicLong(), new AtomicLong()}));
    }

    /** One job from its taking to its end; only its first end counts. Belongs to one thread. */
    public final class Ticket {
        private final String jobClass;
        private UsageRecorder.Receipt owed = UsageRecorder.Receipt.NONE;
        private boolean over;

        private Ticket(String requestClass) {
            this.jobClass = requestClass;
        }

        /** The books wait for word of how it ends. */
        public void owe(UsageRecorder.Receipt receipt) {
            if (over) {
                receipt.left();
            } else {
                owed = receipt;
            }
        }

        /** The last byte of its answer is written. */
        public void answered(End end) {
            if (leave()) {
                count(jobClass, end);
                owed.answered();
            }
        }

        /** Its client has gone: no answer counts. */
        public void left() {
            if (leave()) {
                owed.left();
            }
        }

        private boolean leave() {
            boolean first = !over;
            over = true;
            if (first) {
                open.decrementAndGet();
            }
            return first;
        }
    }

    /** A job of a class of the settings has been taken. */
    public Ticket taken(String requestClass) {
        open.incrementAndGet();
        return new Ticket(requestClass);
    }

    /** A job ended so; one of an unknown class is none. */
    public void count(String requestClass, End end) {
        AtomicLong[] counts = jobs.get(requestClass);
        if (counts != null) {
            counts[end.ordinal()].incrementAndGet();
        }
    }

    /** An attempt is whole on the socket. */
    public void relayed() {
        relayed.incrementAndGet();
    }

    /** How many workers are on the list, and how many of them get no job now. */
    void setEndpointCounts(int endpoints, int leftOut) {
        listed = endpoints;
        avoided = leftOut;
    }

    /** What the module passed over of the peers' datagrams, by kind, since the start. */
    void setPeerMessageFaults(Map<String, Long> passedOver) {
        peers = Map.copyOf(passedOver);
    }

    /** The figures now. */
    public Snapshot snapshot() {
        Map<String, List<Long>> copy = new LinkedHashMap<>();
        jobs.forEach((name, counts) -> {
            List<Long> row = new ArrayList<>();
            for (AtomicLong count : counts) {
                row.add(count.get());
            }
            copy.put(name, List.copyOf(row));
        });
        return new Snapshot(Collections.unmodifiableMap(copy), relayed.get(), open.get(), listed, avoided, peers);
    }
}
