package nettlewick.contention;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.statistics.distribution.HypergeometricDistribution;

/**
 * What the tier has seen of one member, by windows, and whether its work harms the others' (docs/pools.md).
 * One for each holding of the member's duty. Pure.
 */
public final class ContentionEvidence {
    /** Windows that a verdict looks at, and how many of them have to show a member over its share. */
    static final int WINDOWS = 6;

    private static final int SUSTAINED = 4;
    /** Over its share by this factor. */
    private static final double OVER = 1.25;
    /** Jobs of others that a comparison needs on each side. */
    private static final int LEAST = 20;
    /** How often others may be harmed by chance or at any time, and the level of the test. */
    static final double HARMED = 0.05;

    private static final double TWICE = 2;
    private static final double LEVEL = 0.01;
    /** Others' jobs that run so much longer against their hints are slowed by something else. */
    private static final double SLOWED = 1.5;
    /** The part that this member has in all that is asked for beyond shares. */
    private static final double WORTH = 0.5;
    /** A life of a dispatcher, with what it had counted by the end of each window. */
    private static final class Teller {
        long life;
        final TreeMap<Long, UsageReport> counted = new TreeMap<>();
    }

    /** What a window, or some of them, came to without one dispatcher. */
    private static final class View {
        UsageReport sum = UsageReport.NOTHING;
        int over;
    }

    /**
     * What a window came to.
     *
     * @param noisy whether the member is to be moved, by all of the last windows
     * @param over  whether it asked for more than its share in this one
     * @param part  its part of all work asked for in this one
     */
    public record Finding(boolean noisy, boolean over, double part) {}

    private final int member;
    private final double share;
    private final Map<Integer, Double> shares;
    private final Map<Integer, Teller> tellers = new HashMap<>();
    /** The number of the window that is open. */
    private long open = WINDOWS;

    private UncontendedBaseline quiet = UncontendedBaseline.NONE;
    private int alarms;
    /** Marks of the other members that are apart, and of their runners. */
    private final Set<Integer> others = new HashSet<>();

    private final Set<Integer> elsewhere = new HashSet<>();

    /** @param shares of all members, by name; they add up to one or less */
    public ContentionEvidence(String tenant, Map<String, Double> shares) {
        this.member = UsageCounters.mark(tenant);
        share = shares.getOrDefault(tenant, 0.0);
        this.shares = new HashMap<>();
        shares.forEach((name, part) -> this.shares.put(UsageCounters.mark(name), part));
    }

    /**
     * A dispatcher's word; what no version here has written is passed over, and false comes back. A word may
     * tell what was true some windows ago: a new holder is told what the one before it had heard.
     */
    public boolean hear(int from, long life, byte[] data) {
        UsageReport word = UsageReport.of(data);
        if (word == null || UsageReport.age(data) < 0 || UsageReport.age(data) > WINDOWS) {
            return false;
        }
        alarms += word.alarmed() ? 1 : 0;
        Teller t = tellers.computeIfAbsent(from, f -> new Teller());
        if (t.life != life) {
            // What a life had seen before it was first heard of belongs to no window.
            t.life = life;
            t.counted.clear();
        }
        t.counted.merge(open - UsageReport.age(data), word, UsageReport::most);
        return true;
    }

    /**
     * Closes a window and judges.
     *
     * @param apart other members that are in pools of their own, and the sim runners there: what happens
     *              between them harms nobody else, and is no measure of what others' jobs are like
     */
    public Finding window(Map<String, Set<String>> apart) {
        others.clear();
        elsewhere.clear();
        apart.forEach((name, endpoints) -> {
            others.add(UsageCounters.mark(name));
            endpoints.forEach(r -> elsewhere.add(UsageCounters.mark(r)));
        });
        List<Map<Integer, UsageReport>> windows = new ArrayList<>();
        for (int n = 0; n < WINDOWS; n++) {
            windows.add(new LinkedHashMap<>());
        }
        long first = open - WINDOWS + 1;
        tellers.forEach((from, t) -> {
            t.counted.headMap(first - 1).clear();
            UsageReport before = null;
            for (Map.Entry<Long, UsageReport> e : t.counted.entrySet()) {
                // Danger: a word that came late may say less than one of an older window.
                UsageReport all = before == null ? e.getValue() : before.most(e.getValue());
                if (before != null) {
                    windows.get((int) (e.getKey() - first)).put(from, all.minus(before));
                }
                before = all;
            }
        });
        open++;
        UsageReport last = sum(windows.get(WINDOWS - 1), -1);
        boolean over = over(last, member, share);
        return new Finding(over && noisy(windows), over, part(last, member));
    }

    /** Whether any dispatcher has spoken of its own accord since this was asked last. */
    public boolean alarmed() {
        boolean any = alarms > 0;
        alarms = 0;
        return any;
    }

    private static double part(UsageReport sum, int of) {
        return sum.total() <= 0 ? 0 : sum.asked().getOrDefault(of, 0L) / (double) sum.total();
    }

    static boolean over(UsageReport sum, int tenant, double share) {
        return part(sum, tenant) > OVER * share;
    }

    private static UsageReport sum(Map<Integer, UsageReport> window, int without) {
        UsageReport sum = UsageReport.NOTHING;
        for (Map.Entry<Integer, UsageReport> e : window.entrySet()) {
            sum = e.getKey() == without ? sum : sum.plus(e.getValue());
        }
        return sum;
    }

    /** Danger: one that lies, or whose links are broken, must not move a member by itself. */
    private boolean noisy(List<Map<Integer, UsageReport>> windows) {
        if (!holds(windows, -1)) {
            return false;
        }
        Set<Integer> all = new HashSet<>();
        windows.forEach(w -> all.addAll(w.keySet()));
        return all.size() > 1 && all.stream().allMatch(one -> holds(windows, one));
    }

    private boolean holds(List<Map<Integer, UsageReport>> windows, int without) {
        quiet = UncontendedBaseline.NONE;
        tellers.forEach((from, t) -> quiet = from == without || t.counted.isEmpty()
                ? quiet
                : quiet.plus(t.counted.lastEntry().getValue().quiet()));
        View v = new View();
        for (Map<Integer, UsageReport> window : windows) {
            UsageReport sum = sum(window, without);
            v.sum = v.sum.plus(sum);
            v.over += over(sum, member, share) ? 1 : 0;
        }
        return v.over >= SUSTAINED && worth(v.sum, member, shares, others) && attributable(v.sum) && !slowed(v.sum);
    }

    /**
     * Whether a member asks for so much of what all ask for beyond their shares, those apart left out.
     *
     * @param shares by the marks of names
     */
    static boolean worth(UsageReport sum, int tenant, Map<Integer, Double> shares, Set<Integer> apart) {
        double beyond = 0;
        for (int other : sum.asked().keySet()) {
            beyond += apart.contains(other) ? 0 : Math.max(0, part(sum, other) - shares.getOrDefault(other, 0.0));
        }
        return part(sum, tenant) - shares.getOrDefault(tenant, 0.0) >= WORTH * beyond;
    }

    private boolean slowed(UsageReport sum) {
        return quiet.hinted() > 0
                && sum.hinted() > 0
                && sum.ran() / (double) sum.hinted() > SLOWED * quiet.ran() / quiet.hinted();
    }

    /** Whether others are harmed more often where this member is than where, or when, it is not. */
    private boolean attributable(UsageReport sum) {
        long with = 0;
        long harmedWith = 0;
        double rest = 0;
        double harmedRest = 0;
        for (Map.Entry<Integer, UsageReport.At> e : sum.at().entrySet()) {
            UsageReport.At a = elsewhere.contains(e.getKey()) ? UsageReport.At.NONE : e.getValue();
            if (a.all() > 0 && a.own() > share * a.all()) {
                with += a.others();
                harmedWith += a.harmed();
            } else {
                rest += a.others();
                harmedRest += a.harmed();
            }
        }
        if (rest < LEAST) {
            rest = quiet.others();
            harmedRest = quiet.harmed();
        }
        if (with < LEAST
                || rest < LEAST
                || harmedWith < HARMED * with
                || harmedWith / (double) with < TWICE * harmedRest / rest) {
            return false;
        }
        int restAll = (int) Math.min(Integer.MAX_VALUE / 4, Math.round(rest));
        int restHarmed = (int) Math.min(restAll, Math.round(harmedRest));
        int withAll = (int) Math.min(Integer.MAX_VALUE / 4, with);
        int withHarmed = (int) Math.min(withAll, harmedWith);
        // Fisher's exact test, one side: the chance of so many harmed among these, were all alike.
        return HypergeometricDistribution.of(restAll + withAll, restHarmed + withHarmed, withAll)
                        .survivalProbability(withHarmed - 1)
                < LEVEL;
    }
}
