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
 * Many module instances before one fleet of endpoints of two slots, in virtual time, by a script and a seed. It is no
 * model of a site: nothing fails by itself, all endpoints are alike, and reports are as old as they may be.
 */
final class SimulatedFleet {
    static final int SLOTS = 2;
    private static final String[] ZONES = {"north", "south", "east", "west"};
    private static final long HOP = 4 * Samples.MS;
    private static final long REPORT = 500 * Samples.MS;

    /** An endpoint: what runs, what waits, and the load it last reported. */
    final class SimulatedEndpoint {
        final EndpointEntry entry;
        final Deque<Runnable> waiting = new ArrayDeque<>();
        int running;
        private EndpointLoad report;
        private long reportAt = SchedulerClock.NEVER;

        SimulatedEndpoint(EndpointEntry entry) {
            this.entry = entry;
        }

        EndpointLoad load() {
            if (now - reportAt >= REPORT) {
                reportAt = now;
                report = new EndpointLoad(
                        SLOTS - running, Double.NaN, waiting.size(), running + waiting.size(), Double.NaN);
            }
            return report;
        }

        void take(long work, Runnable begun, Runnable done) {
            Runnable start = () -> {
                running++;
                begun.run();
                at(now + work, () -> {
                    running--;
                    done.run();
                    if (!waiting.isEmpty()) {
                        waiting.poll().run();
                    }
                });
            };
            if (running < SLOTS) {
                start.run();
            } else {
                sentToFullEndpoint++;
                waiting.add(start);
            }
        }
    }

    private record Due(long at, long number, Runnable task) {}

    final Map<String, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
    final List<RequestScheduler> instances = new ArrayList<>();
    final Map<String, Long> work = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.number(), b.number()));
    private final SplittableRandom random;
    private long numbers;
    long now = 1;
    int sent;
    int sentToFullEndpoint;
    int rejected;
    int probes;
    long datagrams;
    long bytes;
    long longest;
    /** Datagrams and bytes sent, by what they are for. */
    final Map<String, long[]> byKind = new TreeMap<>();
    /** Nanoseconds that the module took, of all instances together. */
    long cpu;

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
            SchedulerSettings s = Samples.settings(rank, dispatchers, true);
            instances.add(new RequestScheduler(
                    new SchedulerSettings(
                            rank,
                            dispatchers,
                            ZONES[rank % ZONES.length],
                            s.classes(),
                            s.tenants(),
                            s.kinds(),
                            s.listsOnRequest(),
                            s.hasFixedSizes(),
                            s.loadReporting(),
                            s.progressIntervalNanos(),
                            s.limits(),
                            s.rules()),
                    seed + rank));
        }
        for (int rank = 0; rank < dispatchers; rank++) {
            handle(
                    rank,
                    new EndpointList(
                            true, endpoints.values().stream().map(r -> r.entry).toList()));
        }
    }

    /** Events that have not come yet, with what they hold, are dropped: what remains is the instances' state. */
    void forgetEvents() {
        queue.clear();
        work.clear();
        attempts.clear();
    }

    private void at(long time, Runnable task) {
        queue.add(new Due(time, numbers++, task));
    }

    void run(long until) {
        while (!queue.isEmpty() && queue.peek().at() <= until) {
            Due due = queue.poll();
            now = due.at();
            due.task().run();
        }
        now = until;
    }

    /** Requests of that work arrive at this instance at that rate, almost evenly. */
    void traffic(int rank, double perSecond, long each, long from, long until) {
        long time = from;
        while (time < until) {
            time += (long) (Samples.SECOND / perSecond * (0.5 + random.nextDouble()));
            String id = "j" + rank + "-" + numbers;
            work.put(id, each);
            at(time, () -> handle(rank, new Arrival(id, "read", "red", 5 * Samples.SECOND, 1, 0, each, null, false)));
        }
    }

    private void handle(int rank, Event event) {
        long began = System.nanoTime();
        List<Action> actions = instances.get(rank).handle(now, List.of(event));
        cpu += System.nanoTime() - began;
        actions.forEach(action -> carryOut(rank, action));
    }

    private void carryOut(int rank, Action action) {
        if (action instanceof Dispatch d) {
            int number = attempts.merge(d.id(), 1, Integer::sum) - 1;
            long sentAt = now;
            sent++;
            at(
                    now + HOP,
                    () -> endpoints
                            .get(d.endpointId())
                            .take(
                                    work.get(d.id()),
                                    () -> later(rank, new Progress(d.id(), number, d.endpointId(), 0)),
                                    () -> later(
                                            rank,
                                            new Outcome(
                                                    d.id(),
                                                    number,
                                                    d.endpointId(),
                                                    AttemptResult.SERVED,
                                                    now + HOP - sentAt,
                                                    true,
                                                    null))));
        } else if (action instanceof Probe p) {
            probes++;
            at(
                    now + HOP,
                    () -> later(
                            rank,
                            new ProbeAnswer(
                                    p.endpoint(),
                                    AttemptResult.SERVED,
                                    2 * HOP,
                                    endpoints.get(p.endpoint()).load())));
        } else if (action instanceof SendToPeer t) {
            datagrams++;
            bytes += t.data().length;
            longest = Math.max(longest, t.data().length);
            long[] kind = byKind.computeIfAbsent(kind(t.data()), k -> new long[2]);
            kind[0]++;
            kind[1] += t.data().length;
            at(now + HOP, () -> handle(t.rank(), new PeerMessageReceived(rank, t.data())));
        } else if (action instanceof SetTimer t) {
            at(now + t.delayNanos(), () -> handle(rank, new Timer(t.name())));
        } else if (action instanceof Reject) {
            rejected++;
        }
    }

    private static String kind(byte[] data) {
        PeerMessage message = PeerMessage.decode(data);
        return message != null
                ? message.type().name().toLowerCase(Locale.ROOT)
                : AggregationMessage.isAggregationMessage(data)
                        ? AggregationMessage.kindOf(data).name().toLowerCase(Locale.ROOT)
                        : "message";
    }

    private void later(int rank, Event event) {
        at(now + HOP, () -> handle(rank, event));
    }
}
