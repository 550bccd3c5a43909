package nettlewick.decision;

import static nettlewick.golden.GoldenFile.assertMatches;
import static nettlewick.golden.GoldenFile.hex;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointAdminChange;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.EndpointListFailed;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.PeerMessageReceived;
import nettlewick.decision.Event.PoolsAssigned;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.LoadReporting;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs small fleets in virtual time through the public interface and compares a digest of all actions, and the bytes
 * of some peer messages, with golden files recorded by an earlier build.
 */
class PeerMessageGoldenTest {
    private static final long MS = Samples.MS;
    private static final long SECOND = Samples.SECOND;
    private static final long END = 14 * SECOND;
    private static final String[] CLASSES = {"read", "keyed", "book", "cell"};
    private static final AttemptResult[] RESULTS = {
        AttemptResult.SERVED,
        AttemptResult.SERVED,
        AttemptResult.SERVED,
        AttemptResult.SERVED,
        AttemptResult.SERVED,
        AttemptResult.SERVED,
        AttemptResult.SERVED,
        AttemptResult.ERROR,
        AttemptResult.OVERLOADED,
        AttemptResult.TIMEOUT,
        AttemptResult.UNREACHABLE,
        AttemptResult.BROKEN
    };

    private record ScheduledEvent(long at, long sequence, int rank, Event event) {}

    /** A fleet in virtual time whose endpoints fail, fill up and restart at random. */
    private static final class Fleet {
        private final SplittableRandom random;
        private final List<Dispatcher> dispatchers = new ArrayList<>();
        private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>(
                (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.sequence(), b.sequence()));
        private final Map<String, Integer> attemptCounts = new LinkedHashMap<>();
        private final Map<String, List<byte[]>> messagesByKind = new LinkedHashMap<>();
        private final MessageDigest decisionDigest = sha256();
        private final Map<String, Integer> actionCounts = new LinkedHashMap<>();
        private final int endpoints;
        private long nextSequence;
        private long now = 1;

        Fleet(int size, int endpoints, long seed) {
            random = new SplittableRandom(seed);
            this.endpoints = endpoints;
            for (int rank = 0; rank < size; rank++) {
                dispatchers.add(Dispatcher.create(settings(rank, size, seed % 2 == 0), seed + rank));
            }
            for (int rank = 0; rank < size; rank++) {
                schedule(now, rank, Samples.endpoints(endpoints));
                scheduleArrivals(rank);
                scheduleEndpointChanges(rank);
            }
        }

        /** Settings with hedging and load reports on probes only, or with inline load reports and progress events. */
        private static SchedulerSettings settings(int rank, int size, boolean hedging) {
            SchedulerSettings base = Samples.settings(rank, size, true);
            Limits limits = new Limits(4, true, true, true, true, hedging, 2 * SECOND);
            return new SchedulerSettings(
                    rank,
                    size,
                    base.zone(),
                    base.classes(),
                    base.tenants(),
                    base.kinds(),
                    base.requestsEndpointList(),
                    base.hasFixedSizes(),
                    hedging ? LoadReporting.ON_PROBE : LoadReporting.INLINE,
                    hedging ? 0 : 100 * MS,
                    limits,
                    base.rules());
        }

        private void scheduleArrivals(int rank) {
            long time = now;
            while (time < END) {
                time += 5 * MS + random.nextLong(60 * MS);
                String name = CLASSES[random.nextInt(CLASSES.length)];
                String key = random.nextInt(4) == 0 ? "key" + random.nextInt(20) : null;
                String tenant = random.nextInt(5) == 0 ? "blue" : "red";
                long hint = random.nextBoolean() ? 0 : 40 * MS + random.nextLong(400 * MS);
                long remaining = SECOND + random.nextLong(4 * SECOND);
                schedule(
                        time,
                        rank,
                        new Arrival(
                                "r" + rank + "-" + time,
                                name,
                                tenant,
                                remaining,
                                1 + random.nextInt(2),
                                0,
                                hint,
                                key,
                                false));
            }
        }

        private void scheduleEndpointChanges(int rank) {
            for (long time = 2 * SECOND; time < END; time += SECOND) {
                int index = random.nextInt(endpoints);
                EndpointState state = EndpointState.values()[random.nextInt(EndpointState.values().length)];
                EndpointEntry changed =
                        Samples.entry("w" + index, state, time / 2, index % 2 == 0 ? "north" : "south", index / 2);
                schedule(time + random.nextLong(300 * MS), rank, new EndpointList(false, List.of(changed)));
            }
            schedule(6 * SECOND, rank, new EndpointAdminChange("w1", true, 0));
            schedule(8 * SECOND, rank, new EndpointAdminChange("w1", false, 8 * SECOND));
            schedule(
                    9 * SECOND, rank, new PoolsAssigned(List.of(new PoolAssignment("blue", Set.of("w2"), true, true))));
            schedule(11 * SECOND, rank, new PoolsAssigned(List.of()));
            schedule(12 * SECOND, rank, new EndpointListFailed());
        }

        private void schedule(long time, int rank, Event event) {
            queue.add(new ScheduledEvent(time, nextSequence++, rank, event));
        }

        void run() {
            while (!queue.isEmpty() && queue.peek().at() <= END) {
                ScheduledEvent next = queue.poll();
                now = next.at();
                for (Action action : dispatchers.get(next.rank()).handle(now, List.of(next.event()))) {
                    record(next.rank(), action);
                    execute(next.rank(), action);
                }
            }
        }

        private void record(int rank, Action action) {
            String text = describe(action);
            decisionDigest.update((now + " " + rank + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
            actionCounts.merge(describe(action).split(" ")[0], 1, Integer::sum);
        }

        /** The values of an action in a fixed format, so that the digest does not depend on type names. */
        private static String describe(Action action) {
            if (action instanceof Dispatch d) {
                return "dispatch " + d.id() + " " + d.endpointId() + " " + d.timeoutNanos();
            } else if (action instanceof Reject r) {
                return "reject " + r.id() + " " + r.retryAfterNanos();
            } else if (action instanceof Fail f) {
                return "fail " + f.id();
            } else if (action instanceof Cancel c) {
                return "cancel " + c.id() + " " + c.attempt();
            } else if (action instanceof Probe p) {
                return "probe " + p.endpoint();
            } else if (action instanceof SetTimer t) {
                return "timer " + t.delayNanos();
            } else if (action instanceof SendToPeer t) {
                return "message " + t.rank() + " " + HexFormat.of().formatHex(t.data());
            }
            return "subscribe";
        }

        private void execute(int rank, Action action) {
            if (action instanceof Dispatch d) {
                runAttempt(rank, d);
            } else if (action instanceof Cancel c) {
                schedule(
                        now + 2 * MS,
                        rank,
                        new Outcome(c.id(), c.attempt(), "w0", AttemptResult.CANCELLED, MS, false, null));
            } else if (action instanceof Probe p) {
                EndpointLoad load =
                        new EndpointLoad(random.nextInt(3), Double.NaN, random.nextInt(3), Double.NaN, Double.NaN);
                schedule(now + 8 * MS, rank, new ProbeAnswer(p.endpoint(), AttemptResult.SERVED, 8 * MS, load));
            } else if (action instanceof SetTimer t) {
                schedule(now + t.delayNanos(), rank, new Timer(t.name()));
            } else if (action instanceof SendToPeer t) {
                messagesByKind
                        .computeIfAbsent(messageKind(t.data()), k -> new ArrayList<>())
                        .add(t.data());
                if (random.nextInt(10) > 0) {
                    schedule(now + 4 * MS, t.rank(), new PeerMessageReceived(rank, t.data()));
                }
            }
        }

        private void runAttempt(int rank, Dispatch d) {
            int number = attemptCounts.merge(d.id(), 1, Integer::sum) - 1;
            AttemptResult result = RESULTS[random.nextInt(RESULTS.length)];
            long latency = 30 * MS + random.nextLong(700 * MS);
            if (random.nextBoolean()) {
                schedule(now + 8 * MS, rank, new Progress(d.id(), number, d.endpointId(), 0));
            }
            EndpointLoad load =
                    new EndpointLoad(random.nextInt(3), Double.NaN, random.nextInt(4), Double.NaN, Double.NaN);
            schedule(
                    now + latency,
                    rank,
                    new Outcome(
                            d.id(),
                            number,
                            d.endpointId(),
                            result,
                            latency,
                            result == AttemptResult.SERVED,
                            random.nextBoolean() ? load : null));
        }

        private static String messageKind(byte[] data) {
            int typeByte = data.length > 2 && (data[0] & 0xF0) == 0xD0 ? data[2] & 0xFF : -1;
            return (data[0] & 0xFF) == 0xD2
                    ? "exchange " + typeByte
                    : "first byte " + HexFormat.of().toHexDigits(data[0]);
        }

        String report() {
            StringBuilder text = new StringBuilder();
            actionCounts.entrySet().stream()
                    .sorted(Map.Entry.comparingByKey())
                    .forEach(e -> text.append(e.getKey())
                            .append(' ')
                            .append(e.getValue())
                            .append('\n'));
            text.append("decided ")
                    .append(HexFormat.of().formatHex(decisionDigest.digest()))
                    .append('\n');
            messagesByKind.entrySet().stream()
                    .sorted(Map.Entry.comparingByKey())
                    .forEach(e -> {
                        text.append(e.getKey())
                                .append(": ")
                                .append(e.getValue().size())
                                .append('\n');
                        e.getValue().stream().limit(3).forEach(bytes -> text.append(hex(bytes)));
                        e.getValue().stream()
                                .max((a, b) -> Arrays.compare(a, b))
                                .ifPresent(b -> text.append(hex(b)));
                    });
            return text.toString();
        }

        private static MessageDigest sha256() {
            try {
                return MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 4, 11", "2, 6, 12", "5, 8, 13", "16, 20, 14", "18, 24, 15", "30, 40, 16"})
    void decidesAndSendsTheSameAsRecorded(int dispatchers, int endpoints, long seed) {
        Fleet fleet = new Fleet(dispatchers, endpoints, seed);
        fleet.run();
        assertMatches("decision/fleet-" + dispatchers + ".txt", fleet.report());
    }
}
