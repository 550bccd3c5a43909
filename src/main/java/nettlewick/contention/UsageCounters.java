package nettlewick.contention;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import nettlewick.core.Attempt;
import nettlewick.core.Request;
import nettlewick.core.RequestListener;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** What this dispatcher sees of its members' work, counted since its life began. Any thread. */
public final class UsageCounters implements RequestListener {
    /** An attempt that begins later than this part of its class's aim was harmed. */
    private static final double WAITED = 0.25;
    /** So many members, and so many sim runners, those seen last, go into a word. */
    private static final int MEMBERS_MOST = 16;

    private static final int RUNNERS_MOST = 32;
    /** So many sim runners are remembered: those of months of releases would add up. */
    private static final int KEPT_MOST = 1024;

    /** Of one member, at one sim runner or in all. */
    private static final class Sums {
        double busy;
        long ended;
        long harmed;
        double ran;
        double hinted;
        double asked;
    }

    private static final class Runner {
        final Map<String, Sums> members = new HashMap<>();
        long seen;
    }

    private final Map<String, Double> aims;
    private final Map<String, Runner> runners = new HashMap<>();
    private final Map<String, Sums> members = new HashMap<>();
    /** How long a job of a class runs, where no hint tells: the mean of those seen. */
    private final Map<String, double[]> runs = new HashMap<>();

    private long events;

    public UsageCounters(List<RequestClass> classes) {
        aims = classes.stream()
                .collect(Collectors.toMap(RequestClass::name, c -> c.latencyObjective() / 1e6, (a, b) -> a));
    }

    /** Stands for a name in words. */
    static int mark(String name) {
        return String.valueOf(name).hashCode();
    }

    @Override
    public synchronized void asked(Request r) {
        if (!r.repeat()) {
            // Danger: what was turned away and comes again would make a refused member look noisy.
            double[] mean = runs.getOrDefault(r.requestClass(), new double[] {1, 1});
            sums(r.tenant()).asked += r.slots() * (r.costHint() > 0 ? r.costHint() : mean[0] / mean[1]);
        }
    }

    private Sums sums(String tenant) {
        return members.computeIfAbsent(String.valueOf(tenant), m -> new Sums());
    }

    @Override
    public synchronized void ended(Attempt a, AttemptResult result) {
        Request r = a.request();
        Runner at = runners.computeIfAbsent(a.endpoint(), w -> new Runner());
        at.seen = ++events;
        if (runners.size() > KEPT_MOST) {
            runners.remove(Collections.min(runners.entrySet(), Comparator.comparingLong(e -> e.getValue().seen))
                    .getKey());
        }
        Sums here = at.members.computeIfAbsent(String.valueOf(r.tenant()), m -> new Sums());
        double ran = a.ran();
        here.busy += ran * r.slots();
        boolean began = !Double.isNaN(a.waited());
        if (result == AttemptResult.SERVED && began) {
            double[] mean = runs.computeIfAbsent(r.requestClass(), c -> new double[2]);
            mean[0] += ran;
            mean[1]++;
            if (r.costHint() > 0) {
                Sums all = sums(r.tenant());
                all.ran += ran;
                all.hinted += r.costHint();
            }
        }
        boolean harmed = result == AttemptResult.OVERLOADED
                || !began && (result == AttemptResult.TIMEOUT || result == AttemptResult.CANCELLED)
                || began && a.waited() > WAITED * aims.getOrDefault(r.requestClass(), 1e9);
        if (harmed || result == AttemptResult.SERVED) {
            here.ended++;
            here.harmed += harmed ? 1 : 0;
        }
    }

    /** What there is to say of this member. */
    UsageReport word(String tenant) {
        return word(tenant, MEMBERS_MOST, RUNNERS_MOST);
    }

    /** All that was seen of this member. */
    UsageReport all(String tenant) {
        return word(tenant, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    private synchronized UsageReport word(String tenant, int membersMost, int runnersMost) {
        Map<Integer, Long> asked = new LinkedHashMap<>();
        members.entrySet().stream()
                .sorted(Comparator.comparingDouble(e -> -e.getValue().asked))
                .limit(membersMost)
                .forEach(e -> asked.put(mark(e.getKey()), Math.round(e.getValue().asked)));
        asked.computeIfAbsent(mark(tenant), m -> Math.round(sums(tenant).asked));
        Map<Integer, UsageReport.At> at = new LinkedHashMap<>();
        runners.entrySet().stream()
                .sorted(Comparator.comparingLong(e -> -e.getValue().seen))
                .limit(runnersMost)
                .forEach(e -> at.put(mark(e.getKey()), at(e.getValue(), tenant)));
        return new UsageReport(
                Math.round(members.values().stream().mapToDouble(s -> s.asked).sum()),
                asked,
                others(tenant, s -> Math.round(s.ran)),
                others(tenant, s -> Math.round(s.hinted)),
                at,
                UncontendedBaseline.NONE,
                false);
    }

    private long others(String tenant, ToLongFunction<Sums> what) {
        return members.entrySet().stream()
                .filter(e -> !e.getKey().equals(tenant))
                .mapToLong(e -> what.applyAsLong(e.getValue()))
                .sum();
    }

    private static UsageReport.At at(Runner endpoint, String tenant) {
        double own = 0;
        double all = 0;
        long others = 0;
        long harmed = 0;
        for (Map.Entry<String, Sums> e : endpoint.members.entrySet()) {
            all += e.getValue().busy;
            if (e.getKey().equals(tenant)) {
                own += e.getValue().busy;
            } else {
                others += e.getValue().ended;
                harmed += e.getValue().harmed;
            }
        }
        return new UsageReport.At((long) own, (long) all, others, harmed);
    }
}
