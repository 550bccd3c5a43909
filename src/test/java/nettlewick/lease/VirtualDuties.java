package nettlewick.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Post;

/** The pure machines of a tier in virtual time: what its duties' datagrams come to, and what losses cost. */
public final class VirtualDuties {
    private static final double LEASE = 3000;
    private static final double TICK = 100;
    private static final int CANDIDATES = 8;
    private static final int STATE = 250;

    private final LeaseTerms terms = new LeaseTerms(LEASE, 0.05);
    private final List<Integer> numbers;
    private final List<LeaseVoter> voters = new ArrayList<>();
    private final Map<String, Map<Integer, LeaseCandidate>> seats = new LinkedHashMap<>();
    private final SplittableRandom random;
    private final double loss;
    private final MessageCodec envelope = new MessageCodec(new byte[32], 1, 0, 1);
    private long bytes;

    private VirtualDuties(int dispatchers, int voting, int duties, double loss, long seed) {
        this.loss = loss;
        random = new SplittableRandom(seed);
        numbers = IntStream.range(0, voting).boxed().toList();
        numbers.forEach(v -> voters.add(new LeaseVoter(v, numbers, terms, 0, v).trusted()));
        for (int d = 0; d < duties; d++) {
            String duty = "pool-member-" + d;
            List<Integer> order = CandidateRanking.of(duty, dispatchers);
            Map<Integer, LeaseCandidate> all = new HashMap<>();
            for (int turn = 0; turn < Math.min(dispatchers, CANDIDATES); turn++) {
                all.put(order.get(turn), new LeaseCandidate(duty, order.get(turn), turn + 1, numbers, terms, turn, 0));
            }
            seats.put(duty, all);
        }
    }

    /** One tick of all, and all that is said at it. */
    private void tick(double now) {
        Deque<Post> posts = new ArrayDeque<>();
        for (Map<Integer, LeaseCandidate> all : seats.values()) {
            for (LeaseCandidate seat : all.values()) {
                posts.addAll(seat.tick(now));
                if (seat.mayAct(now) && seat.version() == 0 && !seat.changing()) {
                    List<Post> out = new ArrayList<>();
                    seat.change(new byte[STATE], now, out);
                    posts.addAll(out);
                }
            }
        }
        while (!posts.isEmpty()) {
            Post p = posts.poll();
            if (p.to() != p.message().from()) {
                bytes += envelope.close(p.message()).length;
                if (random.nextDouble() < loss) {
                    continue;
                }
            }
            boolean question = p.message().kind().ordinal() <= Kind.RECALL.ordinal();
            posts.addAll(
                    question
                            ? voters.get(p.to()).hear(p.message(), now)
                            : seats.get(p.message().duty()).get(p.to()).hear(p.message(), now));
        }
    }

    private long held(double now) {
        return seats.values().stream()
                .filter(all -> all.values().stream().anyMatch(s -> s.mayAct(now)))
                .count();
    }

    /** Bytes that one dispatcher sends a second, the mean, with this many duties of a state of some size. */
    public static double bytes(int dispatchers, int duties, double millis) {
        VirtualDuties tier = new VirtualDuties(dispatchers, 5, duties, 0, 1);
        for (double now = 0; now < millis; now += TICK) {
            if (now == millis / 2) {
                tier.bytes = 0;
            }
            tier.tick(now);
        }
        if (tier.held(millis) < duties) {
            throw new IllegalStateException(tier.held(millis) + " of " + duties + " are held");
        }
        LeaseMessage news = LeaseMessage.of(Kind.NEWS, "pool-member-1", 0, 0, 1).holding(1, 1, LeaseMessage.NOTHING);
        double beats = duties * (dispatchers - 1.0) * tier.envelope.close(news).length / (LeaseService.IDLE * LEASE);
        return (tier.bytes / (millis / 2) + beats) * 1000 / dispatchers;
    }

    /** The part of the time in which nobody holds a duty, the mean of thirty, while datagrams are lost, from the start. */
    public static double unheld(int dispatchers, int voting, double loss, double millis, long seed) {
        VirtualDuties tier = new VirtualDuties(dispatchers, voting, 30, loss, seed);
        double without = 0;
        int ticks = 0;
        for (double now = 0; now < millis; now += TICK) {
            tier.tick(now);
            without += 1 - tier.held(now) / 30.0;
            ticks++;
        }
        return without / ticks;
    }
}
