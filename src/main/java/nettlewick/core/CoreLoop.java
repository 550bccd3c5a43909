package nettlewick.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettlewick.decision.Action;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.Dispatcher.EndpointCounts;
import nettlewick.decision.Dispatcher.PeerMessageFaults;
import nettlewick.decision.Event;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.log.ComponentLogger;

/** The core's one thread: its queue, its timers, and the rounds in which the module decides. */
abstract class CoreLoop implements Runnable {
    static final ComponentLogger LOG = ComponentLogger.of("core");
    static final double NANOS = 1e6;
    private static final int MAX_TASKS_PER_ITERATION = 512;
    /** How often the workers left out are counted. */
    private static final double STATS_INTERVAL_MILLIS = 50;

    final Clock clock;
    final Metrics metrics;
    final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Dispatcher module;
    private final PriorityQueue<Due> timers = new PriorityQueue<>();
    private final Set<String> seenFaults = new HashSet<>();
    private PeerMessageFaults lastFaults = new PeerMessageFaults(0, 0, 0);
    List<Event> pendingEvents = new ArrayList<>();
    double now;
    private double countedAt;
    private long timerNumber;
    private volatile boolean stopped;

    private record Due(double at, long number, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int order = Double.compare(at, other.at);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    CoreLoop(Clock clock, SchedulerSettings settings, Dispatcher module) {
        this.clock = clock;
        this.module = module;
        metrics =
                new Metrics(settings.classes().stream().map(RequestClass::name).toList());
        now = clock.now();
    }

    /** Carries one of the module's wishes out. */
    abstract void execute(Action action);

    /** What operators count. */
    public Metrics figures() {
        return metrics;
    }

    public void stop() {
        queue.add(() -> stopped = true);
    }

    @Override
    public void run() {
        decide();
        while (!stopped) {
            try {
                runIteration(millisUntilWork());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private double millisUntilWork() {
        if (!pendingEvents.isEmpty()) {
            return 0;
        }
        return timers.isEmpty() ? 1000 : Math.max(0, timers.peek().at() - clock.now());
    }

    /** One round: waits so many milliseconds for news at most, then takes all there is and decides on it. */
    void runIteration(double wait) throws InterruptedException {
        Runnable first = queue.poll((long) Math.ceil(wait * 1000), TimeUnit.MICROSECONDS);
        now = clock.now();
        for (int taken = 0; first != null; first = ++taken < MAX_TASKS_PER_ITERATION ? queue.poll() : null) {
            runGuarded(first);
        }
        List<Due> due = new ArrayList<>();
        while (!timers.isEmpty() && timers.peek().at() <= now) {
            due.add(timers.poll());
        }
        due.forEach(d -> runGuarded(d.task()));
        while (!pendingEvents.isEmpty()) {
            decide();
        }
        if (now - countedAt >= STATS_INTERVAL_MILLIS) {
            countedAt = now;
            EndpointCounts rotation = module.endpointCounts();
            metrics.setEndpointCounts(rotation.listed(), rotation.ejected());
            reportPeerFaults(module.peerMessageFaults());
        }
    }

    /** Counts what peers sent and the module passed over; each kind is logged at its first sight. */
    private void reportPeerFaults(PeerMessageFaults faults) {
        if (faults.equals(lastFaults)) {
            return;
        }
        lastFaults = faults;
        Map<String, Long> kinds = new TreeMap<>(
                Map.of("damaged", faults.damaged(), "late", faults.late(), "unlisted", faults.unlisted()));
        kinds.forEach((kind, count) -> {
            if (count > 0 && seenFaults.add(kind)) {
                LOG.warning(
                        "peer-" + kind,
                        "peers' datagrams passed over: " + count + " " + kind
                                + "; counted from now on in the figures, not logged again",
                        "kind",
                        kind);
            }
        });
        metrics.setPeerMessageFaults(kinds);
    }

    /** Danger: a fault in one task must not end the thread that all requests depend on. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.fault("task-failed", "core task failed", e);
        }
    }

    private void decide() {
        List<Event> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        List<Action> actions;
        try {
            actions = module.handle(toNanos(now), events);
        } catch (RuntimeException e) {
            LOG.fault("module-failed", "decision module failed on " + events.size() + " events", e);
            return;
        }
        for (Action action : actions) {
            runGuarded(() -> execute(action));
        }
    }

    static long toNanos(double millis) {
        return Math.round(millis * NANOS);
    }

    final void schedule(double at, Runnable task) {
        timers.add(new Due(at, timerNumber++, task));
    }
}
