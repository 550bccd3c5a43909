package nettlewick.contention;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * What is told to the holders of members' duties, and when it is worth a word: where a member asks for more
 * than its share here while others are harmed, and wherever its holder listens. Not to be shared by threads.
 */
public final class UsageReporter {
    /** A dispatcher speaks of its own accord after so many windows in a row. */
    private static final int IN_A_ROW = 2;

    private static final class Told {
        UsageReport last;
        double windowAt;
        UncontendedBaseline quiet = UncontendedBaseline.NONE;
        boolean alarmed;
        /** Windows in a row in which the member was over its share here. */
        int over;
        /** What there was to say at the end of each of the last windows, the newest first. */
        final Deque<byte[]> past = new ArrayDeque<>();
        /** The fence under which it was spoken last, and how many windows have ended since. */
        long spokenTo = -1;

        int silent;
    }

    private final UsageCounters counters;
    private final Map<String, Double> shares;
    private final Map<Integer, Double> byMark = new HashMap<>();
    private final Map<String, Told> told = new HashMap<>();

    public UsageReporter(UsageCounters counters, Map<String, Double> shares) {
        this.counters = counters;
        this.shares = Map.copyOf(shares);
        shares.forEach((name, part) -> byMark.put(UsageCounters.mark(name), part));
    }

    /**
     * The words to send now, each its own datagram: mostly none or one, and to a holder that has not heard
     * the last windows those too, so that what was seen does not end with the holder before it.
     *
     * @param fence   the holder's
     * @param listens whether the holder wants words from all
     * @param window  how long what was seen is put together, in milliseconds
     * @param apart   other members that are in pools of their own; asked for at a window's end only
     */
    public List<byte[]> words(
            String tenant, long fence, boolean listens, double window, double now, Supplier<Set<String>> apart) {
        Told t = told.computeIfAbsent(tenant, m -> new Told());
        if (t.last == null || now >= t.windowAt) {
            t.windowAt = now + window;
            UsageReport all = counters.all(tenant);
            look(t, t.last == null ? UsageReport.NOTHING : all.minus(t.last), tenant, apart.get());
            t.last = all;
            t.past.addFirst(bytes(t, tenant));
            if (t.past.size() > ContentionEvidence.WINDOWS) {
                t.past.removeLast();
            }
            t.silent = Math.min(ContentionEvidence.WINDOWS, t.silent + 1);
        }
        if (!listens && !t.alarmed) {
            return List.of();
        }
        List<byte[]> words = new ArrayList<>();
        int ago = 0;
        int unheard = fence == t.spokenTo ? t.silent : ContentionEvidence.WINDOWS;
        for (byte[] old : t.past) {
            if (++ago <= unheard) {
                words.add(UsageReport.aged(old, ago));
            }
        }
        words.add(bytes(t, tenant));
        t.spokenTo = fence;
        t.silent = 0;
        return words;
    }

    private byte[] bytes(Told t, String tenant) {
        return counters.word(tenant).saying(t.quiet, t.alarmed).bytes();
    }

    private void look(Told t, UsageReport news, String tenant, Set<String> apart) {
        double share = shares.get(tenant);
        int mark = UsageCounters.mark(tenant);
        Set<Integer> left = apart.stream().map(UsageCounters::mark).collect(Collectors.toSet());
        t.quiet = t.quiet.after(news, UsageCounters.mark(tenant), share);
        UsageReport.At all = news.everywhere();
        // Danger: one that sees a few jobs in a window finds every small member over its share now and then.
        boolean most = ContentionEvidence.over(news, mark, share) && ContentionEvidence.worth(news, mark, byMark, left);
        t.over = most ? t.over + 1 : 0;
        t.alarmed = t.over >= IN_A_ROW && all.harmed() > 0 && all.harmed() >= ContentionEvidence.HARMED * all.others();
    }
}
