package nettlewick.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.PeerMessageReceived;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.Timer;

/**
 * Simulates many dispatchers in front of one fleet of endpoints with two slots each, in virtual time, from given
 * traffic and a seed. It does not model a real site: nothing fails, all endpoints are alike, and load reports are as
 * old as permitted.
 */
final class SimulatedFleet {
    static final int SLOTS = 2;
    private static final String[] ZONES = {"north", "south", "east", "west"};
    private static final long NETWORK_DELAY_NANOS = 4 * Samples.MS;
    private static final long REPORT_INTERVAL_NANOS = 500 * Samples.MS;

    /** An endpoint with its running and queued requests and its last load report. */
    final class SimulatedEndpoint {
        final EndpointEntry entry;
        final Deque<Runnable> queued = new ArrayDeque<>();
        int running;
        private EndpointLoad report;
        private long reportAt = SchedulerClock.NEVER;

        SimulatedEndpoint(EndpointEntry entry) {
            this.entry = entry;
        }

        EndpointLoad load() {
            if (now - reportAt >= REPORT_INTERVAL_NANOS) {
                reportAt = now;
                report = new EndpointLoad(
                        SLOTS - running, Double.NaN, queued.size(), running + queued.size(), Double.NaN);
            }
            return report;
        }

        void accept(long runTime, Runnable onStart, Runnable onEnd) {
            Runnable start = () -> {
                running++;
                onStart.run();
                schedule(now + runTime, () -> {
                    running--;
                    onEnd.run();
                    if (!queued.isEmpty()) {
                        queued.poll().run();
                    }
                });
            };
            if (running < SLOTS) {
                start.run();
            } else {
                sentToFullEndpoint++;
                queued.add(start);
            }
        }
    }

    private record ScheduledTask(long at, long sequence, Runnable task) {}

    final Map<String, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
    final List<RequestScheduler> instances = new ArrayList<>();
    final Map<String, Long> runTimes = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final PriorityQueue<ScheduledTask> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.sequence(), b.sequence()));
    private final SplittableRandom random;
    private long nextSequence;
    long now = 1;
    int sent;
    int sentToFullEndpoint;
    int rejected;
    int probes;
    long datagrams;
    long bytes;
    long longestDatagram;
    /** Number of datagrams and bytes sent, by kind of message. */
    final Map<String, long[]> byKind = new TreeMap<>();
    /** Time spent in the decision module by all instances together. */
    long cpuNanos;

    SimulatedFleet(int dispatchers, int endpointCount, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < endpointCount; i++) {
            String id = "w" + i;
            endpoints.put(
                    id,
                    new SimulatedEndpoint(
                            new EndpointEntry(id, EndpointState.READY, 0, i / 2, "box", ZONES[i % ZONES.length], 1)));
        }
        for (int rank = 0; rank < dispatchers; rank++) {
            SchedulerSettings defaults = Samples.settings(rank, dispatchers, true);
            instances.add(new RequestScheduler(
                    new SchedulerSettings(
                            rank,
                            dispatchers,
                            ZONES[rank % ZONES.length],
                            defaults.classes(),
                            defaults.tenants(),
                            defaults.kinds(),
                            defaults.requestsEndpointList(),
                            defaults.hasFixedSizes(),
                            defaults.loadReporting(),
                            defaults.progressIntervalNanos(),
                            defaults.limits(),
                            defaults.rules()),
                    seed + rank));
        }
        for (int rank = 0; rank < dispatchers; rank++) {
            handle(
                    rank,
                    new EndpointList(
                            true, endpoints.values().stream().map(r -> r.entry).toList()));
        }
    }

    /** Drops pending events and their data, so that only the instances' state remains in memory. */
    void dropPendingEvents() {
        events.clear();
        runTimes.clear();
        attempts.clear();
    }

    private void schedule(long time, Runnable task) {
        events.add(new ScheduledTask(time, nextSequence++, task));
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().at() <= until) {
            ScheduledTask task = events.poll();
            now = task.at();
            task.task().run();
        }
        now = until;
    }

    /** Schedules arrivals of requests with the given run time at an instance, at roughly even intervals. */
    void addTraffic(int rank, double requestsPerSecond, long runTime, long start, long end) {
        long time = start;
        while (time < end) {
            time += (long) (Samples.SECOND / requestsPerSecond * (0.5 + random.nextDouble()));
            String id = "j" + rank + "-" + nextSequence;
            runTimes.put(id, runTime);
            schedule(
                    time,
                    () -> handle(rank, new Arrival(id, "read", "red", 5 * Samples.SECOND, 1, 0, runTime, null, false)));
        }
    }

    private void handle(int rank, Event event) {
        long startedAt = System.nanoTime();
        List<Action> actions = instances.get(rank).handle(now, List.of(event));
        cpuNanos += System.nanoTime() - startedAt;
        actions.forEach(action -> execute(rank, action));
    }

    private void execute(int rank, Action action) {
        if (action instanceof Dispatch d) {
            int number = attempts.merge(d.id(), 1, Integer::sum) - 1;
            long sentAt = now;
            sent++;
            schedule(
                    now + NETWORK_DELAY_NANOS,
                    () -> endpoints
                            .get(d.endpointId())
                            .accept(
                                    runTimes.get(d.id()),
                                    () -> handleAfterDelay(rank, new Progress(d.id(), number, d.endpointId(), 0)),
                                    () -> handleAfterDelay(
                                            rank,
                                            new Outcome(
                                                    d.id(),
                                                    number,
                                                    d.endpointId(),
                                                    AttemptResult.SERVED,
                                                    now + NETWORK_DELAY_NANOS - sentAt,
                                                    true,
                                                    null))));
        } else if (action instanceof Probe p) {
            probes++;
            schedule(
                    now + NETWORK_DELAY_NANOS,
                    () -> handleAfterDelay(
                            rank,
                            new ProbeAnswer(
                                    p.endpoint(),
                                    AttemptResult.SERVED,
                                    2 * NETWORK_DELAY_NANOS,
                                    endpoints.get(p.endpoint()).load())));
        } else if (action instanceof SendToPeer t) {
            datagrams++;
            bytes += t.data().length;
            longestDatagram = Math.max(longestDatagram, t.data().length);
            long[] kind = byKind.computeIfAbsent(messageKind(t.data()), k -> new long[2]);
            kind[0]++;
            kind[1] += t.data().length;
            schedule(now + NETWORK_DELAY_NANOS, () -> handle(t.rank(), new PeerMessageReceived(rank, t.data())));
        } else if (action instanceof SetTimer t) {
            schedule(now + t.delayNanos(), () -> handle(rank, new Timer(t.name())));
        } else if (action instanceof Reject) {
            rejected++;
        }
    }

    private static String messageKind(byte[] data) {
        PeerMessage message = PeerMessage.decode(data);
        return message != null
                ? message.type().name().toLowerCase(Locale.ROOT)
                : AggregationMessage.isAggregationMessage(data)
                        ? AggregationMessage.kindOf(data).name().toLowerCase(Locale.ROOT)
                        : "message";
    }

    private void handleAfterDelay(int rank, Event event) {
        schedule(now + NETWORK_DELAY_NANOS, () -> handle(rank, event));
    }
}
