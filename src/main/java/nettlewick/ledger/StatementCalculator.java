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
public final class StatementCalculator {
    /** TestEntries with one key of one member's class, the earliest first: only the first is billed. */
    private record Key(String tenant, String requestClass, String hash) {}

    private static final Comparator<Entry> BY_TIME =
            Comparator.<Entry>comparingDouble(Entry::timeMillis).thenComparing(Entry::ref);

    private static final Comparator<List<String>> LEXICOGRAPHIC = (a, b) -> {
        for (int i = 0; i < a.size(); i++) {
            int order = a.get(i).compareTo(b.get(i));
            if (order != 0) {
                return order;
            }
        }
        return 0;
    };

    private final BillingCalendar calendar;
    private final double keyWindowMillis;
    private final Set<EntryRef> refs = new HashSet<>();
    private final List<Entry> billable = new ArrayList<>();
    private final List<Entry> gaps = new ArrayList<>();
    private final Map<EntryRef, Entry> byRef = new HashMap<>();
    private final Map<EntryRef, List<Entry>> corrections = new HashMap<>();
    private final Map<Key, List<Entry>> keyed = new HashMap<>();
    /** By dispatcher, then by the beginning of the period; of several the earliest in its chain counts. */
    private final Map<String, NavigableMap<Double, Entry>> closes = new TreeMap<>();

    private Map<String, Statement> statements;

    /** {@code keyWindow}: a key answered again within so many milliseconds is not billed again. */
    public StatementCalculator(BillingCalendar calendar, double keyWindowMillis) {
        this.calendar = calendar;
        this.keyWindowMillis = keyWindowMillis;
    }

    /** Takes an entry over; false if it is held already. */
    public boolean add(Entry e) {
        if (!refs.add(e.ref())) {
            return false;
        }
        statements = null;
        switch (e.kind()) {
            case JOB, DOUBT -> {
                billable.add(e);
                byRef.put(e.ref(), e);
                if (e.keyHash() != null && e.kind() == Kind.JOB && e.ending() == Ending.SERVED) {
                    keyed.computeIfAbsent(new Key(e.tenant(), e.requestClass(), e.keyHash()), k -> new ArrayList<>(1))
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
                        .merge(
                                e.parseClose().period().from(),
                                e,
                                (a, b) -> a.ref().compareTo(b.ref()) < 0 ? a : b);
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
        return effectiveCorrection(target, r -> true);
    }

    /** Whether a dispatcher has closed its part of a period. */
    public boolean isClosed(String dispatcher, BillingCalendar.Period period) {
        return closes.containsKey(dispatcher) && closes.get(dispatcher).containsKey(period.from());
    }

    /**
     * What the settings' calendar contradicts: a period that was closed with other bounds. Null if nothing.
     */
    public String calendarConflict() {
        for (NavigableMap<Double, Entry> all : closes.values()) {
            for (Entry e : all.values()) {
                BillingCalendar.Period closed = e.parseClose().period();
                if (!calendar.periodAt(closed.from()).equals(closed)) {
                    return "period " + closed.name() + " was closed as " + closed + ", the settings say "
                            + calendar.periodAt(closed.from());
                }
            }
        }
        return null;
    }

    /** The earliest period of a dispatcher that has entries and is not closed; null if there is none. */
    public BillingCalendar.Period firstOpenPeriod(String dispatcher) {
        return java.util.stream.Stream.concat(billable.stream(), gaps.stream())
                .filter(e -> e.ref().origin().dispatcher().equals(dispatcher))
                .map(e -> calendar.periodAt(e.timeMillis()))
                .filter(p -> !isClosed(dispatcher, p))
                .min(Comparator.comparingDouble(BillingCalendar.Period::from))
                .orElse(null);
    }

    /**
     * Whether nothing that is known changes an entry any more: its period's close covers it, and neither a
     * correction nor another answer under its key is held. Only such entries can be set aside alone.
     */
    public boolean isSettled(Entry e) {
        Close close = closeOf(e.ref().origin().dispatcher(), calendar.periodAt(e.timeMillis()));
        return close != null && close.covers(e.ref()) && (e.kind() == Kind.GAP || hasFixedValue(e));
    }

    /** The periods that have anything to state, the earliest first. */
    public Collection<String> periods() {
        return statementsByPeriod().keySet();
    }

    /** The statement of a period; an empty one where nothing happened. */
    public Statement statement(String period) {
        Statement found = statementsByPeriod().get(period);
        if (found != null || calendar.periodNamed(period).isEmpty()) {
            return found != null
                    ? found
                    : new Statement(period, false, List.of(), List.of(), List.of(), List.of(), List.of());
        }
        StatementDraft empty = new StatementDraft(calendar.periodNamed(period).get());
        dispatchers().stream().filter(name -> !isClosed(name, empty.period)).forEach(empty.openDispatchers::add);
        return empty.build();
    }

    // What an entry is worth to who knows only some of the entries

    private Entry effectiveCorrection(EntryRef target, Predicate<EntryRef> visible) {
        List<Entry> all = corrections.get(target);
        if (all == null) {
            return null;
        }
        return all.stream()
                .filter(c -> visible.test(c.ref()) && isByOwnDispatcher(c))
                .min(Comparator.comparing(Entry::ref))
                .orElse(null);
    }

    /** Whether a correction is one that may count at all. */
    private boolean isByOwnDispatcher(Entry correction) {
        return correction
                .ref()
                .origin()
                .dispatcher()
                .equals(correction.target().origin().dispatcher());
    }

    /** Whether an earlier answer under the same key is billed in its place. */
    private boolean isRepeat(Entry e, Predicate<EntryRef> visible) {
        List<Entry> sameKey = e.keyHash() == null || e.kind() != Kind.JOB || e.ending() != Ending.SERVED
                ? null
                : keyed.get(new Key(e.tenant(), e.requestClass(), e.keyHash()));
        if (sameKey == null || sameKey.size() < 2) {
            return false;
        }
        double billedAt = Double.NEGATIVE_INFINITY;
        for (Entry other : sameKey.stream()
                .filter(o -> visible.test(o.ref()))
                .sorted(BY_TIME)
                .toList()) {
            boolean repeat = other.timeMillis() - billedAt < keyWindowMillis;
            if (other == e) {
                return repeat;
            }
            billedAt = repeat ? billedAt : other.timeMillis();
        }
        return false;
    }

    private boolean hasFixedValue(Entry e) {
        return !corrections.containsKey(e.ref())
                && (e.keyHash() == null
                        || e.ending() != Ending.SERVED
                        || keyed.getOrDefault(new Key(e.tenant(), e.requestClass(), e.keyHash()), List.of())
                                        .size()
                                < 2);
    }

    private long billedWork(Entry e, Predicate<EntryRef> visible) {
        if (!visible.test(e.ref())) {
            return 0;
        }
        Entry correction = effectiveCorrection(e.ref(), visible);
        if (correction != null) {
            return correction.workSlotMicros();
        }
        return e.kind() != Kind.JOB || e.ending() != Ending.SERVED || isRepeat(e, visible) ? 0 : e.workSlotMicros();
    }

    // Statements

    private static final class StatementDraft {
        final BillingCalendar.Period period;
        final Set<String> openDispatchers = new TreeSet<>();
        final Map<List<String>, long[]> rows = new TreeMap<>(LEXICOGRAPHIC);
        final Map<List<String>, long[]> late = new TreeMap<>(LEXICOGRAPHIC);
        final List<Statement.Gap> gaps = new ArrayList<>();
        final List<Statement.VoidedCorrection> voided = new ArrayList<>();

        StatementDraft(BillingCalendar.Period period) {
            this.period = period;
        }

        long[] row(Entry e) {
            return rows.computeIfAbsent(List.of(e.tenant(), e.requestClass()), k -> new long[10]);
        }

        Statement build() {
            return new Statement(
                    period.name(),
                    openDispatchers.isEmpty(),
                    List.copyOf(openDispatchers),
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
                            .sorted(Comparator.comparing(Statement.VoidedCorrection::ref))
                            .toList());
        }

        private static Statement.Row row(List<String> who, long[] n) {
            return new Statement.Row(
                    who.get(0), who.get(1), n[0], n[1], n[2], n[3], n[4], n[5], n[6], n[7], n[8], n[9]);
        }
    }

    private Map<String, Statement> statementsByPeriod() {
        if (statements == null) {
            TreeMap<Double, StatementDraft> drafts = buildDrafts(e -> true);
            Set<String> dispatchers = dispatchers();
            Map<String, Statement> done = new LinkedHashMap<>();
            drafts.values().forEach(d -> {
                dispatchers.stream().filter(name -> !isClosed(name, d.period)).forEach(d.openDispatchers::add);
                done.put(d.period.name(), d.build());
            });
            statements = done;
        }
        return statements;
    }

    private Set<String> dispatchers() {
        Set<String> dispatchers = new TreeSet<>();
        refs.forEach(r -> dispatchers.add(r.origin().dispatcher()));
        return dispatchers;
    }

    private TreeMap<Double, StatementDraft> buildDrafts(Predicate<Entry> filter) {
        TreeMap<Double, StatementDraft> drafts = new TreeMap<>();
        billable.stream().filter(filter).forEach(e -> addValue(e, drafts));
        gaps.stream()
                .filter(filter)
                .forEach(e -> placeInDraft(e, drafts, (draft, nominal) -> draft.gaps.add(toGap(e))));
        corrections.values().forEach(all -> all.stream().filter(filter).forEach(c -> addIfVoid(c, drafts)));
        return drafts;
    }

    /** One dispatcher's part of a period. */
    Statement dispatcherPart(String dispatcher, BillingCalendar.Period period) {
        StatementDraft part =
                draftOf(buildDrafts(e -> e.ref().origin().dispatcher().equals(dispatcher)), period);
        if (!isClosed(dispatcher, period)) {
            part.openDispatchers.add(dispatcher);
        }
        return part.build();
    }

    private static StatementDraft draftOf(TreeMap<Double, StatementDraft> drafts, BillingCalendar.Period period) {
        return drafts.computeIfAbsent(period.from(), from -> new StatementDraft(period));
    }

    private Close closeOf(String dispatcher, BillingCalendar.Period period) {
        NavigableMap<Double, Entry> all = closes.get(dispatcher);
        Entry close = all == null ? null : all.get(period.from());
        return close == null ? null : parsedCloses.computeIfAbsent(close.ref(), r -> close.parseClose());
    }

    private final Map<EntryRef, Close> parsedCloses = new HashMap<>();

    private interface DraftAction {
        void accept(StatementDraft draft, BillingCalendar.Period nominal);
    }

    /** Finds the first period, from the entry's own on, that is open or whose close covers the entry. */
    private void placeInDraft(Entry e, TreeMap<Double, StatementDraft> drafts, DraftAction action) {
        BillingCalendar.Period nominal = calendar.periodAt(e.timeMillis());
        BillingCalendar.Period period = nominal;
        for (Close close = closeOf(e.ref().origin().dispatcher(), period);
                close != null && !close.covers(e.ref());
                close = closeOf(e.ref().origin().dispatcher(), period)) {
            period = calendar.periodAfter(period);
        }
        action.accept(draftOf(drafts, period), nominal);
    }

    private static Statement.Gap toGap(Entry e) {
        String[] bounds = e.details().split(" ");
        return new Statement.Gap(
                e.ref(), Double.parseDouble(bounds[0]), Double.parseDouble(bounds[1]), e.requestNumber());
    }

    private void addIfVoid(Entry c, TreeMap<Double, StatementDraft> drafts) {
        Entry target = byRef.get(c.target());
        String reason = !isByOwnDispatcher(c)
                ? "only the entry's own dispatcher corrects it"
                : target == null
                        ? "its entry is not held here, or not yet"
                        : target.kind() == Kind.CORRECTION
                                ? "a correction is not corrected"
                                : target.kind() != Kind.JOB && target.kind() != Kind.DOUBT
                                        ? "the entry bills nothing"
                                        : effectiveCorrection(c.target(), r -> true) != c
                                                ? "the entry was corrected before"
                                                : null;
        if (reason != null) {
            placeInDraft(
                    c,
                    drafts,
                    (draft, nominal) -> draft.voided.add(new Statement.VoidedCorrection(c.ref(), c.target(), reason)));
        }
    }

    /** States an entry in its period, and in later ones what was found out after closes. */
    private void addValue(Entry e, TreeMap<Double, StatementDraft> drafts) {
        String dispatcher = e.ref().origin().dispatcher();
        placeInDraft(e, drafts, (draft, nominal) -> addCounts(e, draft, nominal));
        BillingCalendar.Period nominal = calendar.periodAt(e.timeMillis());
        boolean fixedValue = hasFixedValue(e);
        long stated = 0;
        boolean known = false;
        BillingCalendar.Period period = nominal;
        Predicate<EntryRef> visibleBefore = r -> false;
        while (true) {
            Close close = closeOf(dispatcher, period);
            // What an earlier period has stated stays known, also where that was closed after the later one.
            Predicate<EntryRef> visible = close == null ? r -> true : visibleBefore.or(close::covers);
            visibleBefore = visible;
            long value = fixedValue
                    ? visible.test(e.ref()) && e.kind() == Kind.JOB && e.ending() == Ending.SERVED
                            ? e.workSlotMicros()
                            : 0
                    : billedWork(e, visible);
            boolean isNew = !known && visible.test(e.ref());
            known |= isNew;
            if (period == nominal) {
                if (known) {
                    addBilled(e, draftOf(drafts, period), value, visible, fixedValue);
                }
            } else if (value != stated || isNew) {
                long[] late = draftOf(drafts, period)
                        .late
                        .computeIfAbsent(List.of(nominal.name(), e.tenant(), e.requestClass()), k -> new long[2]);
                late[0]++;
                late[1] += value - stated;
            }
            stated = value;
            if (close == null || fixedValue && known) {
                return;
            }
            period = calendar.periodAfter(period);
        }
    }

    private void addBilled(Entry e, StatementDraft draft, long value, Predicate<EntryRef> visible, boolean fixedValue) {
        long[] row = draft.row(e);
        row[4] += value;
        row[5] += e.isEstimate() && value == e.workSlotMicros() ? value : 0;
        row[9] += !fixedValue && isRepeat(e, visible) ? 1 : 0;
    }

    private static void addCounts(Entry e, StatementDraft draft, BillingCalendar.Period nominal) {
        if (draft.period.from() != nominal.from()) {
            // Found after the close: it is stated as late, and counts in the row of no period.
            return;
        }
        long[] row = draft.row(e);
        if (e.kind() == Kind.DOUBT) {
            row[7]++;
            row[8] += e.workSlotMicros();
        } else {
            row[e.ending().ordinal()]++;
            row[6] += e.extraWorkSlotMicros();
        }
    }
}
