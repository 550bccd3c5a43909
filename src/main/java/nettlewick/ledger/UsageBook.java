package nettlewick.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.ledger.Entry.Close;
import nettlewick.ledger.Entry.Kind;

/**
 * The accounts: a pure function of the set of entries that it was given, whatever their order. Does no I/O
 * and
 * reads no clock.
 *
 * <p>What an entry is worth depends on what is known. A closed period states what its dispatcher's close
 * covered, for good; what is found later is stated as a difference in the next period whose close covers it,
 * or which is open.
 */
public final class UsageBook {
    /** Entries with one key of one member's class, the earliest first: only the first is billed. */
    private record Key(String member, String jobClass, String hash) {}

    private static final Comparator<Entry> BY_TIME =
            Comparator.<Entry>comparingDouble(Entry::at).thenComparing(Entry::ref);

    private static final Comparator<List<String>> BY_WORDS = (a, b) -> {
        for (int i = 0; i < a.size(); i++) {
            int order = a.get(i).compareTo(b.get(i));
            if (order != 0) {
                return order;
            }
        }
        return 0;
    };

    private final Terms terms;
    private final double keyWindow;
    private final Set<EntryRef> held = new HashSet<>();
    private final List<Entry> billable = new ArrayList<>();
    private final List<Entry> gaps = new ArrayList<>();
    private final Map<EntryRef, Entry> byRef = new HashMap<>();
    private final Map<EntryRef, List<Entry>> corrections = new HashMap<>();
    private final Map<Key, List<Entry>> keyed = new HashMap<>();
    /** By dispatcher, then by the beginning of the period; of several the earliest in its chain counts. */
    private final Map<String, NavigableMap<Double, Entry>> closes = new TreeMap<>();

    private Map<String, Statement> statements;

    /** {@code keyWindow}: a key answered again within so many milliseconds is not billed again. */
    public UsageBook(Terms terms, double keyWindow) {
        this.terms = terms;
        this.keyWindow = keyWindow;
    }

    /** Takes an entry over; false if it is held already. */
    public boolean add(Entry e) {
        if (!held.add(e.ref())) {
            return false;
        }
        statements = null;
        switch (e.kind()) {
            case JOB, DOUBT -> {
                billable.add(e);
                byRef.put(e.ref(), e);
                if (e.key() != null && e.kind() == Kind.JOB && e.end() == Ending.SERVED) {
                    keyed.computeIfAbsent(new Key(e.member(), e.jobClass(), e.key()), k -> new ArrayList<>(1))
                            .add(e);
                }
            }
            case GAP -> {
                gaps.add(e);
                byRef.put(e.ref(), e);
            }
            case CORRECTION -> {
                byRef.put(e.ref(), e);
                corrections.computeIfAbsent(e.target(), t -> new ArrayList<>(1)).add(e);
            }
            case CLOSE -> {
                byRef.put(e.ref(), e);
                closes.computeIfAbsent(e.ref().origin().dispatcher(), d -> new TreeMap<>())
                        .merge(e.close().period().from(), e, (a, b) -> a.ref().compareTo(b.ref()) < 0 ? a : b);
            }
            default -> throw new IllegalStateException(e.kind().toString());
        }
        return true;
    }

    /** The entry of that name, of any kind; null if it is not held. */
    public Entry entry(EntryRef ref) {
        return byRef.get(ref);
    }

    /** The correction that counts for an entry, or null. */
    public Entry correction(EntryRef target) {
        return effective(target, r -> true);
    }

    /** Whether a dispatcher has closed its part of a period. */
    public boolean isClosed(String dispatcher, Terms.Period period) {
        return closes.containsKey(dispatcher) && closes.get(dispatcher).containsKey(period.from());
    }

    /**
     * What the settings' calendar contradicts: a period that was closed with other bounds. Null if nothing.
     */
    public String contradiction() {
        for (NavigableMap<Double, Entry> all : closes.values()) {
            for (Entry e : all.values()) {
                Terms.Period closed = e.close().period();
                if (!terms.at(closed.from()).equals(closed)) {
                    return "period " + closed.name() + " was closed as " + closed + ", the settings say "
                            + terms.at(closed.from());
                }
            }
        }
        return null;
    }

    /** The earliest period of a dispatcher that has entries and is not closed; null if there is none. */
    public Terms.Period firstOpen(String dispatcher) {
        return java.util.stream.Stream.concat(billable.stream(), gaps.stream())
                .filter(e -> e.ref().origin().dispatcher().equals(dispatcher))
                .map(e -> terms.at(e.at()))
                .filter(p -> !isClosed(dispatcher, p))
                .min(Comparator.comparingDouble(Terms.Period::from))
                .orElse(null);
    }

    /**
     * Whether nothing that is known changes an entry any more: its period's close covers it, and neither a
     * correction nor another answer under its key is held. Only such entries can be set aside alone.
     */
    public boolean settled(Entry e) {
        Close close = close(e.ref().origin().dispatcher(), terms.at(e.at()));
        return close != null && close.covers(e.ref()) && (e.kind() == Kind.GAP || plain(e));
    }

    /** The periods that have anything to state, the earliest first. */
    public Collection<String> periods() {
        return work().keySet();
    }

    /** The statement of a period; an empty one where nothing happened. */
    public Statement statement(String period) {
        Statement found = work().get(period);
        if (found != null || terms.named(period).isEmpty()) {
            return found != null
                    ? found
                    : new Statement(period, false, List.of(), List.of(), List.of(), List.of(), List.of());
        }
        Draft empty = new Draft(terms.named(period).get());
        dispatchers().stream().filter(name -> !isClosed(name, empty.period)).forEach(empty.open::add);
        return empty.done();
    }

    // What an entry is worth to who knows only some of the entries

    private Entry effective(EntryRef target, Predicate<EntryRef> known) {
        List<Entry> all = corrections.get(target);
        if (all == null) {
            return null;
        }
        return all.stream()
                .filter(c -> known.test(c.ref()) && counts(c))
                .min(Comparator.comparing(Entry::ref))
                .orElse(null);
    }

    /** Whether a correction is one that may count at all. */
    private boolean counts(Entry correction) {
        return correction
                .ref()
                .origin()
                .dispatcher()
                .equals(correction.target().origin().dispatcher());
    }

    /** Whether an earlier answer under the same key is billed in its place. */
    private boolean repeats(Entry e, Predicate<EntryRef> known) {
        List<Entry> same = e.key() == null || e.kind() != Kind.JOB || e.end() != Ending.SERVED
                ? null
                : keyed.get(new Key(e.member(), e.jobClass(), e.key()));
        if (same == null || same.size() < 2) {
            return false;
        }
        double billedAt = Double.NEGATIVE_INFINITY;
        for (Entry other :
                same.stream().filter(o -> known.test(o.ref())).sorted(BY_TIME).toList()) {
            boolean repeat = other.at() - billedAt < keyWindow;
            if (other == e) {
                return repeat;
            }
            billedAt = repeat ? billedAt : other.at();
        }
        return false;
    }

    private boolean plain(Entry e) {
        return !corrections.containsKey(e.ref())
                && (e.key() == null
                        || e.end() != Ending.SERVED
                        || keyed.getOrDefault(new Key(e.member(), e.jobClass(), e.key()), List.of())
                                        .size()
                                < 2);
    }

    private long value(Entry e, Predicate<EntryRef> known) {
        if (!known.test(e.ref())) {
            return 0;
        }
        Entry correction = effective(e.ref(), known);
        if (correction != null) {
            return correction.work();
        }
        return e.kind() != Kind.JOB || e.end() != Ending.SERVED || repeats(e, known) ? 0 : e.work();
    }

    // Statements

    private static final class Draft {
        final Terms.Period period;
        final Set<String> open = new TreeSet<>();
        final Map<List<String>, long[]> rows = new TreeMap<>(BY_WORDS);
        final Map<List<String>, long[]> late = new TreeMap<>(BY_WORDS);
        final List<Statement.Gap> gaps = new ArrayList<>();
        final List<Statement.Void> voided = new ArrayList<>();

        Draft(Terms.Period period) {
            this.period = period;
        }

        long[] row(Entry e) {
            return rows.computeIfAbsent(List.of(e.member(), e.jobClass()), k -> new long[10]);
        }

        Statement done() {
            return new Statement(
                    period.name(),
                    open.isEmpty(),
                    List.copyOf(open),
                    rows.entrySet().stream()
                            .map(r -> row(r.getKey(), r.getValue()))
                            .toList(),
                    late.entrySet().stream()
                            .map(l -> new Statement.Late(
                                    l.getKey().get(0),
                                    l.getKey().get(1),
                                    l.getKey().get(2),
                                    l.getValue()[0],
                                    l.getValue()[1]))
                            .toList(),
                    gaps.stream()
                            .sorted(Comparator.comparing(Statement.Gap::ref))
                            .toList(),
                    voided.stream()
                            .sorted(Comparator.comparing(Statement.Void::ref))
                            .toList());
        }

        private static Statement.Row row(List<String> who, long[] n) {
            return new Statement.Row(
                    who.get(0), who.get(1), n[0], n[1], n[2], n[3], n[4], n[5], n[6], n[7], n[8], n[9]);
        }
    }

    private Map<String, Statement> work() {
        if (statements == null) {
            TreeMap<Double, Draft> drafts = drafts(e -> true);
            Set<String> dispatchers = dispatchers();
            Map<String, Statement> done = new LinkedHashMap<>();
            drafts.values().forEach(d -> {
                dispatchers.stream().filter(name -> !isClosed(name, d.period)).forEach(d.open::add);
                done.put(d.period.name(), d.done());
            });
            statements = done;
        }
        return statements;
    }

    private Set<String> dispatchers() {
        Set<String> dispatchers = new TreeSet<>();
        held.forEach(r -> dispatchers.add(r.origin().dispatcher()));
        return dispatchers;
    }

    private TreeMap<Double, Draft> drafts(Predicate<Entry> which) {
        TreeMap<Double, Draft> drafts = new TreeMap<>();
        billable.stream().filter(which).forEach(e -> state(e, drafts));
        gaps.stream().filter(which).forEach(e -> place(e, drafts, (draft, nominal) -> draft.gaps.add(gap(e))));
        corrections.values().forEach(all -> all.stream().filter(which).forEach(c -> voided(c, drafts)));
        return drafts;
    }

    /** One dispatcher's part of a period. */
    Statement part(String dispatcher, Terms.Period period) {
        Draft part = draft(drafts(e -> e.ref().origin().dispatcher().equals(dispatcher)), period);
        if (!isClosed(dispatcher, period)) {
            part.open.add(dispatcher);
        }
        return part.done();
    }

    private static Draft draft(TreeMap<Double, Draft> drafts, Terms.Period period) {
        return drafts.computeIfAbsent(period.from(), from -> new Draft(period));
    }

    private Close close(String dispatcher, Terms.Period period) {
        NavigableMap<Double, Entry> all = closes.get(dispatcher);
        Entry close = all == null ? null : all.get(period.from());
        return close == null ? null : parsed.computeIfAbsent(close.ref(), r -> close.close());
    }

    private final Map<EntryRef, Close> parsed = new HashMap<>();

    private interface Placed {
        void in(Draft draft, Terms.Period nominal);
    }

    /** Finds the first period, from the entry's own on, that is open or whose close covers the entry. */
    private void place(Entry e, TreeMap<Double, Draft> drafts, Placed then) {
        Terms.Period nominal = terms.at(e.at());
        Terms.Period period = nominal;
        for (Close close = close(e.ref().origin().dispatcher(), period);
                close != null && !close.covers(e.ref());
                close = close(e.ref().origin().dispatcher(), period)) {
            period = terms.after(period);
        }
        then.in(draft(drafts, period), nominal);
    }

    private static Statement.Gap gap(Entry e) {
        String[] bounds = e.text().split(" ");
        return new Statement.Gap(e.ref(), Double.parseDouble(bounds[0]), Double.parseDouble(bounds[1]), e.job());
    }

    private void voided(Entry c, TreeMap<Double, Draft> drafts) {
        Entry target = byRef.get(c.target());
        String why = !counts(c)
                ? "only the entry's own dispatcher corrects it"
                : target == null
                        ? "its entry is not held here, or not yet"
                        : target.kind() == Kind.CORRECTION
                                ? "a correction is not corrected"
                                : target.kind() != Kind.JOB && target.kind() != Kind.DOUBT
                                        ? "the entry bills nothing"
                                        : effective(c.target(), r -> true) != c
                                                ? "the entry was corrected before"
                                                : null;
        if (why != null) {
            place(c, drafts, (draft, nominal) -> draft.voided.add(new Statement.Void(c.ref(), c.target(), why)));
        }
    }

    /** States an entry in its period, and in later ones what was found out after closes. */
    private void state(Entry e, TreeMap<Double, Draft> drafts) {
        String dispatcher = e.ref().origin().dispatcher();
        place(e, drafts, (draft, nominal) -> count(e, draft, nominal));
        Terms.Period nominal = terms.at(e.at());
        boolean plain = plain(e);
        long stated = 0;
        boolean known = false;
        Terms.Period period = nominal;
        Predicate<EntryRef> before = r -> false;
        while (true) {
            Close close = close(dispatcher, period);
            // What an earlier period has stated stays known, also where that was closed after the later one.
            Predicate<EntryRef> sees = close == null ? r -> true : before.or(close::covers);
            before = sees;
            long value = plain
                    ? sees.test(e.ref()) && e.kind() == Kind.JOB && e.end() == Ending.SERVED ? e.work() : 0
                    : value(e, sees);
            boolean news = !known && sees.test(e.ref());
            known |= news;
            if (period == nominal) {
                if (known) {
                    bill(e, draft(drafts, period), value, sees, plain);
                }
            } else if (value != stated || news) {
                long[] late = draft(drafts, period)
                        .late
                        .computeIfAbsent(List.of(nominal.name(), e.member(), e.jobClass()), k -> new long[2]);
                late[0]++;
                late[1] += value - stated;
            }
            stated = value;
            if (close == null || plain && known) {
                return;
            }
            period = terms.after(period);
        }
    }

    private void bill(Entry e, Draft draft, long value, Predicate<EntryRef> sees, boolean plain) {
        long[] row = draft.row(e);
        row[4] += value;
        row[5] += e.estimate() && value == e.work() ? value : 0;
        row[9] += !plain && repeats(e, sees) ? 1 : 0;
    }

    private static void count(Entry e, Draft draft, Terms.Period nominal) {
        if (draft.period.from() != nominal.from()) {
            // Found after the close: it is stated as late, and counts in the row of no period.
            return;
        }
        long[] row = draft.row(e);
        if (e.kind() == Kind.DOUBT) {
            row[7]++;
            row[8] += e.work();
        } else {
            row[e.end().ordinal()]++;
            row[6] += e.spare();
        }
    }
}
