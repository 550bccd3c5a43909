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
 * Plays small fleets through the module's public interface and compares all that it decided, and the bytes of its
 * first messages to peers, with what an earlier build decided and sent.
 */
class PeerMessageGoldenTest {
    private static final long MS = Samples.MS;
    private static final long SECOND = Samples.SECOND;
    private static final long PLAYED = 14 * SECOND;
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

    private record Due(long at, long number, int rank, Event event) {}

    /** A fleet in virtual time whose endpoints fail, fill up and restart at random, by a seed. */
    private static final class Fleet {
        private final SplittableRandom random;
        private final List<Dispatcher> members = new ArrayList<>();
        private final PriorityQueue<Due> queue = new PriorityQueue<>(
                (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.number(), b.number()));
        private final Map<String, Integer> attempts = new LinkedHashMap<>();
        private final Map<String, List<byte[]>> messages = new LinkedHashMap<>();
        private final MessageDigest decided = sha256();
        private final Map<String, Integer> counts = new LinkedHashMap<>();
        private final int endpoints;
        private long numbers;
        private long now = 1;

        Fleet(int dispatchers, int endpoints, long seed) {
            random = new SplittableRandom(seed);
            this.endpoints = endpoints;
            for (int rank = 0; rank < dispatchers; rank++) {
                members.add(Dispatcher.create(settings(rank, dispatchers, seed % 2 == 0), seed + rank));
            }
            for (int rank = 0; rank < dispatchers; rank++) {
                at(now, rank, Samples.endpoints(endpoints));
                traffic(rank);
                endpointChanges(rank);
            }
        }

        /** With hedged requests and quiet endpoints, or with cancelled attempts and endpoints that tell progress. */
        private static SchedulerSettings settings(int rank, int dispatchers, boolean hedged) {
            SchedulerSettings s = Samples.settings(rank, dispatchers, true);
            Limits limits = new Limits(4, true, true, true, true, hedged, 2 * SECOND);
            return new SchedulerSettings(
                    rank,
                    dispatchers,
                    s.zone(),
                    s.classes(),
                    s.tenants(),
                    s.kinds(),
                    s.requestsEndpointList(),
                    s.hasFixedSizes(),
                    hedged ? LoadReporting.ON_PROBE : LoadReporting.INLINE,
                    hedged ? 0 : 100 * MS,
                    limits,
                    s.rules());
        }

        private void traffic(int rank) {
            long time = now;
            while (time < PLAYED) {
                time += 5 * MS + random.nextLong(60 * MS);
                String name = CLASSES[random.nextInt(CLASSES.length)];
                String key = random.nextInt(4) == 0 ? "key" + random.nextInt(20) : null;
                String tenant = random.nextInt(5) == 0 ? "blue" : "red";
                long hint = random.nextBoolean() ? 0 : 40 * MS + random.nextLong(400 * MS);
                long remaining = SECOND + random.nextLong(4 * SECOND);
                at(
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

        private void endpointChanges(int rank) {
            for (long time = 2 * SECOND; time < PLAYED; time += SECOND) {
                int index = random.nextInt(endpoints);
                EndpointState life = EndpointState.values()[random.nextInt(EndpointState.values().length)];
                EndpointEntry changed =
                        Samples.entry("w" + index, life, time / 2, index % 2 == 0 ? "north" : "south", index / 2);
                at(time + random.nextLong(300 * MS), rank, new EndpointList(false, List.of(changed)));
            }
            at(6 * SECOND, rank, new EndpointAdminChange("w1", true, 0));
            at(8 * SECOND, rank, new EndpointAdminChange("w1", false, 8 * SECOND));
            at(9 * SECOND, rank, new PoolsAssigned(List.of(new PoolAssignment("blue", Set.of("w2"), true, true))));
            at(11 * SECOND, rank, new PoolsAssigned(List.of()));
            at(12 * SECOND, rank, new EndpointListFailed());
        }

        private void at(long time, int rank, Event event) {
            queue.add(new Due(time, numbers++, rank, event));
        }

        void play() {
            while (!queue.isEmpty() && queue.peek().at() <= PLAYED) {
                Due due = queue.poll();
                now = due.at();
                for (Action action : members.get(due.rank()).handle(now, List.of(due.event()))) {
                    note(due.rank(), action);
                    carryOut(due.rank(), action);
                }
            }
        }

        private void note(int rank, Action action) {
            String text = describe(action);
            decided.update((now + " " + rank + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
            counts.merge(describe(action).split(" ")[0], 1, Integer::sum);
        }

        /** The values of an action in an order of this test's own, so that renamed types change nothing. */
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

        private void carryOut(int rank, Action action) {
            if (action instanceof Dispatch d) {
                runAttempt(rank, d);
            } else if (action instanceof Cancel c) {
                at(
                        now + 2 * MS,
                        rank,
                        new Outcome(c.id(), c.attempt(), "w0", AttemptResult.CANCELLED, MS, false, null));
            } else if (action instanceof Probe p) {
                EndpointLoad load =
                        new EndpointLoad(random.nextInt(3), Double.NaN, random.nextInt(3), Double.NaN, Double.NaN);
                at(now + 8 * MS, rank, new ProbeAnswer(p.endpoint(), AttemptResult.SERVED, 8 * MS, load));
            } else if (action instanceof SetTimer t) {
                at(now + t.delayNanos(), rank, new Timer(t.name()));
            } else if (action instanceof SendToPeer t) {
                messages.computeIfAbsent(kind(t.data()), k -> new ArrayList<>()).add(t.data());
                if (random.nextInt(10) > 0) {
                    at(now + 4 * MS, t.rank(), new PeerMessageReceived(rank, t.data()));
                }
            }
        }

        private void runAttempt(int rank, Dispatch d) {
            int number = attempts.merge(d.id(), 1, Integer::sum) - 1;
            AttemptResult result = RESULTS[random.nextInt(RESULTS.length)];
            long took = 30 * MS + random.nextLong(700 * MS);
            if (random.nextBoolean()) {
                at(now + 8 * MS, rank, new Progress(d.id(), number, d.endpointId(), 0));
            }
            EndpointLoad load =
                    new EndpointLoad(random.nextInt(3), Double.NaN, random.nextInt(4), Double.NaN, Double.NaN);
            at(
                    now + took,
                    rank,
                    new Outcome(
                            d.id(),
                            number,
                            d.endpointId(),
                            result,
                            took,
                            result == AttemptResult.SERVED,
                            random.nextBoolean() ? load : null));
        }

        private static String kind(byte[] data) {
            int second = data.length > 2 && (data[0] & 0xF0) == 0xD0 ? data[2] & 0xFF : -1;
            return (data[0] & 0xFF) == 0xD2
                    ? "exchange " + second
                    : "first byte " + HexFormat.of().toHexDigits(data[0]);
        }

        String report() {
            StringBuilder text = new StringBuilder();
            counts.entrySet().stream()
                    .sorted(Map.Entry.comparingByKey())
                    .forEach(e -> text.append(e.getKey())
                            .append(' ')
                            .append(e.getValue())
                            .append('\n'));
            text.append("decided ")
                    .append(HexFormat.of().formatHex(decided.digest()))
                    .append('\n');
            messages.entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(e -> {
                text.append(e.getKey()).append(": ").append(e.getValue().size()).append('\n');
                e.getValue().stream().limit(3).forEach(bytes -> text.append(hex(bytes)));
                e.getValue().stream().max((a, b) -> Arrays.compare(a, b)).ifPresent(b -> text.append(hex(b)));
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
        fleet.play();
        assertMatches("decision/fleet-" + dispatchers + ".txt", fleet.report());
    }
}
