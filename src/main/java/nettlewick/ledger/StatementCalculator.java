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
 * Computes statements as a pure function of a set of entries, independent of their order. Does no I/O and reads no
 * clock.
 *
 * <p>The value of an entry depends on which other entries are known. The statement of a closed period covers exactly
 * what its dispatcher's close covers and never changes; what is found later is stated as a difference in the next
 * period that is open or whose close covers it.
 */
public final class StatementCalculator {
    /** Groups entries of a tenant and request class by idempotency key; only the earliest is billed. */
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
    /** By dispatcher and start of the period; of several closes the earliest in its chain counts. */
    private final Map<String, NavigableMap<Double, Entry>> closes = new TreeMap<>();

    private Map<String, Statement> statements;

    /** @param keyWindowMillis a key that is answered again within this time is not billed again */
    public StatementCalculator(BillingCalendar calendar, double keyWindowMillis) {
        this.calendar = calendar;
        this.keyWindowMillis = keyWindowMillis;
    }

    /** Adds an entry; returns false if it was already added. */
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

    /** Returns the entry, of any kind; null if it was not added. */
    public Entry entry(EntryRef ref) {
        return byRef.get(ref);
    }

    /** Returns the effective correction of an entry, or null. */
    public Entry correction(EntryRef target) {
        return effectiveCorrection(target, r -> true);
    }

    /** Whether a dispatcher has closed its part of a period. */
    public boolean isClosed(String dispatcher, BillingCalendar.Period period) {
        return closes.containsKey(dispatcher) && closes.get(dispatcher).containsKey(period.from());
    }

    /**
     * Describes a period that was closed with other bounds than the calendar of the settings has; null if there is
     * none.
     */
    public String calendarConflict() {
        for (NavigableMap<Double, Entry> all : closes.values()) {
            for (Entry e : all.values()) {
                BillingCalendar.Period closed = e.parseClose().period();
                if (!calendar.periodAt(closed.from()).equals(closed)) {
                    return "period " + closed.name() + " was closed as " + closed + ", but the settings define "
                            + calendar.periodAt(closed.from());
                }
            }
        }
        return null;
    }

    /** Returns the earliest period in which a dispatcher has entries and which it has not closed, or null. */
    public BillingCalendar.Period firstOpenPeriod(String dispatcher) {
        return java.util.stream.Stream.concat(billable.stream(), gaps.stream())
                .filter(e -> e.ref().origin().dispatcher().equals(dispatcher))
                .map(e -> calendar.periodAt(e.timeMillis()))
                .filter(p -> !isClosed(dispatcher, p))
                .min(Comparator.comparingDouble(BillingCalendar.Period::from))
                .orElse(null);
    }

    /**
     * Whether no known entry can still change this one: the close of its period covers it, and there is neither a
     * correction nor another answer with its key. Only such entries can be archived on their own.
     */
    public boolean isSettled(Entry e) {
        Close close = closeOf(e.ref().origin().dispatcher(), calendar.periodAt(e.timeMillis()));
        return close != null && close.covers(e.ref()) && (e.kind() == Kind.GAP || hasFixedValue(e));
    }

    /** The names of the periods that have a statement, in order. */
    public Collection<String> periods() {
        return statementsByPeriod().keySet();
    }

    /** Returns the statement of a period, which is empty if nothing happened in it. */
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

    // Values given a subset of the entries

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

    /** Whether a correction is from the dispatcher of its target; others have no effect. */
    private boolean isByOwnDispatcher(Entry correction) {
        return correction
                .ref()
                .origin()
                .dispatcher()
                .equals(correction.target().origin().dispatcher());
    }

    /** Whether an earlier answer with the same key is billed instead. */
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

        private static Statement.Row row(List<String> key, long[] counts) {
            return new Statement.Row(
                    key.get(0),
                    key.get(1),
                    counts[0],
                    counts[1],
                    counts[2],
                    counts[3],
                    counts[4],
                    counts[5],
                    counts[6],
                    counts[7],
                    counts[8],
                    counts[9]);
        }
    }

    private Map<String, Statement> statementsByPeriod() {
        if (statements == null) {
            TreeMap<Double, StatementDraft> drafts = buildDrafts(e -> true);
            Set<String> dispatchers = dispatchers();
            Map<String, Statement> byPeriod = new LinkedHashMap<>();
            drafts.values().forEach(d -> {
                dispatchers.stream().filter(name -> !isClosed(name, d.period)).forEach(d.openDispatchers::add);
                byPeriod.put(d.period.name(), d.build());
            });
            statements = byPeriod;
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

    /** Returns the part of a period that belongs to one dispatcher. */
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

    /**
     * Finds the period in which an entry is stated: the first one from its own on that is open or whose close covers
     * the entry.
     */
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
                ? "only the dispatcher that wrote the entry can correct it"
                : target == null
                        ? "the corrected entry is not in this ledger (yet)"
                        : target.kind() == Kind.CORRECTION
                                ? "a correction cannot be corrected"
                                : target.kind() != Kind.JOB && target.kind() != Kind.DOUBT
                                        ? "the entry is not billable"
                                        : effectiveCorrection(c.target(), r -> true) != c
                                                ? "the entry has an earlier correction"
                                                : null;
        if (reason != null) {
            placeInDraft(
                    c,
                    drafts,
                    (draft, nominal) -> draft.voided.add(new Statement.VoidedCorrection(c.ref(), c.target(), reason)));
        }
    }

    /** Adds the value of an entry to its own period, and later changes of the value to the following periods. */
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
            // What an earlier period has stated remains known, even if that period was closed after the later one.
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
            // Found after the close: it is stated as a late change and counts in no row.
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
