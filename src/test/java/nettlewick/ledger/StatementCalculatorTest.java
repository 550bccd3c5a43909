package nettlewick.ledger;

import static nettlewick.ledger.TestEntries.job;
import static nettlewick.ledger.TestEntries.ref;
import static nettlewick.ledger.TestEntries.served;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.ledger.Entry.Kind;
import org.junit.jupiter.api.Test;

/** Statements case by case, and as a function of a set of entries compared with a simple model. */
class StatementCalculatorTest {
    private static final double NOVEMBER = 1793491200000.0;
    private static final double DECEMBER = NOVEMBER + 30 * 8.64e7;
    private static final BillingCalendar CALENDAR = new BillingCalendar(ZoneOffset.UTC, List.of());
    private static final double KEY_WINDOW_MILLIS = 15_000;

    private static StatementCalculator calculator(Entry... entries) {
        StatementCalculator calculator = new StatementCalculator(CALENDAR, KEY_WINDOW_MILLIS);
        for (Entry e : entries) {
            assertTrue(calculator.add(e));
        }
        return calculator;
    }

    private static Entry close(EntryRef ref, Map<ChainOrigin, Long> lastNumbers) {
        return Entry.close(ref, DECEMBER + 10, CALENDAR.periodAt(NOVEMBER), lastNumbers, "op");
    }

    @Test
    void timeOfTheLastByteDecidesThePeriod() {
        StatementCalculator calculator = calculator(
                served(ref("a", 1, 1), DECEMBER - 1, "m", 3),
                served(ref("a", 1, 2), DECEMBER, "m", 5),
                served(ref("a", 1, 3), Math.nextDown(DECEMBER), "m", 7));
        assertEquals(10, calculator.statement("2026-11").billed());
        assertEquals(5, calculator.statement("2026-12").billed());
    }

    @Test
    void rejectedFailedAndAbandonedRequestsAreCountedButNotBilled() {
        StatementCalculator calculator = calculator(
                job(ref("a", 1, 1), NOVEMBER, "m", null, Ending.REFUSED, 9),
                job(ref("a", 1, 2), NOVEMBER, "m", null, Ending.FAILED, 9),
                job(ref("a", 1, 3), NOVEMBER, "m", null, Ending.LEFT, 9),
                served(ref("a", 1, 4), NOVEMBER, "m", 4));
        assertEquals(
                List.of(new Statement.Row("m", "save-run", 1, 1, 1, 1, 4, 0, 20, 0, 0, 0)),
                calculator.statement("2026-11").rows());
    }

    @Test
    void closedStatementNeverChangesAndLaterFindsAreStatedAsLate() {
        ChainOrigin a = new ChainOrigin("a", 1);
        StatementCalculator calculator = calculator(
                served(new EntryRef(a, 1), NOVEMBER, "m", 10),
                served(new EntryRef(a, 2), NOVEMBER, "n", 20),
                close(ref("a", 2, 1), Map.of(a, 2L)));
        Statement closed = calculator.statement("2026-11");
        assertTrue(closed.closed());
        assertEquals(30, closed.billed());
        calculator.add(served(new EntryRef(a, 3), NOVEMBER + 5, "m", 4));
        calculator.add(Entry.correction(
                ref("a", 3, 1), DECEMBER + 20, calculator.entry(new EntryRef(a, 2)), 15, "op", "wrong"));
        assertEquals(closed, calculator.statement("2026-11"));
        assertEquals(
                List.of(
                        new Statement.Late("2026-11", "m", "save-run", 1, 4),
                        new Statement.Late("2026-11", "n", "save-run", 1, -5)),
                calculator.statement("2026-12").late());
        assertEquals(-1, calculator.statement("2026-12").billed());
    }

    @Test
    void onlyTheFirstValidCorrectionCounts() {
        EntryRef target = ref("a", 1, 1);
        Entry entry = served(target, NOVEMBER, "m", 10);
        Entry first = Entry.correction(ref("a", 1, 2), NOVEMBER + 1, entry, 6, "op", "r");
        Entry second = Entry.correction(ref("a", 1, 3), NOVEMBER + 2, entry, 7, "op", "r");
        Entry ofCorrection = Entry.correction(ref("a", 1, 4), NOVEMBER + 3, first, 8, "op", "r");
        Entry ofNone = Entry.correction(ref("a", 1, 5), NOVEMBER + 4, served(ref("a", 1, 99), 1, "m", 1), 8, "op", "r");
        Entry foreign = Entry.correction(ref("b", 1, 1), NOVEMBER + 4, entry, 9, "op", "r");
        StatementCalculator calculator = calculator(foreign, second, ofNone, ofCorrection, first, entry);
        assertEquals(6, calculator.statement("2026-11").billed());
        assertEquals(first, calculator.correction(target));
        assertEquals(
                List.of(
                        "the entry has an earlier correction",
                        "a correction cannot be corrected",
                        "the corrected entry is not in this ledger (yet)",
                        "only the dispatcher that wrote the entry can correct it"),
                calculator.statement("2026-11").voided().stream()
                        .map(Statement.VoidedCorrection::why)
                        .toList());
    }

    @Test
    void keyAnsweredByTwoDispatchersIsBilledOnceInAnyOrder() {
        Entry early = job(ref("b", 1, 1), NOVEMBER, "m", "k", Ending.SERVED, 10);
        Entry late = job(ref("a", 1, 1), NOVEMBER + 14_999, "m", "k", Ending.SERVED, 11);
        Entry later = job(ref("a", 1, 2), NOVEMBER + 15_000, "m", "k", Ending.SERVED, 12);
        Entry other = job(ref("a", 1, 3), NOVEMBER, "n", "k", Ending.SERVED, 100);
        Entry same = job(ref("c", 1, 1), NOVEMBER, "m", "k", Ending.SERVED, 1000);
        for (List<Entry> order :
                List.of(List.of(early, late, later, other, same), List.of(same, other, later, late, early))) {
            Statement s = calculator(order.toArray(Entry[]::new)).statement("2026-11");
            assertEquals(10 + 12 + 100, s.billed());
            assertEquals(2, s.rows().stream().mapToLong(Statement.Row::repeats).sum());
        }
    }

    @Test
    void repeatFoundAfterTheCloseIsSubtractedInTheOpenPeriod() {
        ChainOrigin a = new ChainOrigin("a", 1);
        StatementCalculator calculator = calculator(
                job(new EntryRef(a, 1), NOVEMBER + 9, "m", "k", Ending.SERVED, 10),
                close(ref("a", 2, 1), Map.of(a, 1L)));
        Statement closed = calculator.statement("2026-11");
        calculator.add(job(ref("b", 1, 1), NOVEMBER, "m", "k", Ending.SERVED, 12));
        Statement.Late back = calculator.statement("2026-12").late().get(0);
        assertEquals(new Statement.Late("2026-11", "m", "save-run", 1, -10), back);
        assertEquals(List.of("b"), calculator.statement("2026-11").open());
        assertEquals(
                closed.rows().get(0).billed() + 12,
                calculator.statement("2026-11").billed(),
                "the part of b is open");
    }

    @Test
    void namesThatAreEqualWhenJoinedStaySeparate() {
        StatementCalculator calculator =
                calculator(served(ref("a", 1, 1), NOVEMBER, "x, y", 1), served(ref("a", 1, 2), NOVEMBER, "x", 2));
        assertEquals(2, calculator.statement("2026-11").rows().size());
    }

    /**
     * Six dispatchers write requests, corrections and closes, crash, and exchange entries, with one exchange in five
     * interrupted. In the end all compute the same statements, the totals equal those of a simple model, and no closed
     * statement has changed.
     */
    @Property(tries = 150, seed = "41")
    void sixDispatchersComputeTheSameStatements(@ForAll long seed) {
        Random random = new Random(seed);
        int n = 6;
        List<TreeMap<EntryRef, Entry>> entriesByDispatcher = new ArrayList<>();
        List<List<Entry>> logs = new ArrayList<>();
        long[] incarnations = new long[n];
        long[] number = new long[n];
        Map<String, Statement> closedParts = new TreeMap<>();
        for (int i = 0; i < n; i++) {
            entriesByDispatcher.add(new TreeMap<>());
            logs.add(new ArrayList<>());
            incarnations[i] = 1;
        }
        double now = NOVEMBER + 20 * 8.64e7;
        for (int step = 0; step < 120; step++) {
            int d = random.nextInt(n);
            ChainOrigin own = new ChainOrigin("d" + d, incarnations[d]);
            now += random.nextInt(4) == 0 ? random.nextInt(3) * 8.64e7 : random.nextInt(20_000);
            EntryRef next = new EntryRef(own, number[d] + 1);
            int action = random.nextInt(20);
            Entry created = null;
            if (action < 11) {
                String key = random.nextBoolean() ? null : "k" + random.nextInt(4);
                Ending end = random.nextInt(5) == 0 ? Ending.values()[1 + random.nextInt(3)] : Ending.SERVED;
                double at = random.nextInt(6) == 0 ? now - random.nextInt(30) * 8.64e7 : now;
                created = job(next, at, "m" + random.nextInt(3), key, end, 1 + random.nextInt(1000));
                if (random.nextInt(12) == 0) {
                    created = new Entry(
                            next,
                            Kind.DOUBT,
                            at,
                            "m0",
                            "save-run",
                            "r",
                            key,
                            end,
                            7,
                            false,
                            0,
                            1,
                            1,
                            null,
                            null,
                            "crash");
                }
            } else if (action < 13) {
                List<Entry> ownEntries =
                        new ArrayList<>(entriesByDispatcher.get(d).values());
                if (!ownEntries.isEmpty()) {
                    Entry target = ownEntries.get(random.nextInt(ownEntries.size()));
                    created = Entry.correction(next, now, target, random.nextInt(500), "op", "r");
                }
            } else if (action == 13) {
                StatementCalculator calculator = new StatementCalculator(CALENDAR, KEY_WINDOW_MILLIS);
                entriesByDispatcher.get(d).values().forEach(calculator::add);
                BillingCalendar.Period first = calculator.firstOpenPeriod("d" + d);
                if (first != null && first.to() <= now) {
                    Map<ChainOrigin, Long> lastNumbers = new TreeMap<>();
                    entriesByDispatcher
                            .get(d)
                            .keySet()
                            .forEach(r -> lastNumbers.merge(r.origin(), r.number(), Math::max));
                    created = Entry.close(next, now, first, lastNumbers, "op");
                }
            } else if (action == 14) {
                incarnations[d]++;
                number[d] = 0;
            } else {
                exchange(random, entriesByDispatcher.get(d), entriesByDispatcher.get(random.nextInt(n)));
            }
            if (created != null) {
                number[d]++;
                entriesByDispatcher.get(d).put(next, created);
            }
            assertClosedPartsUnchanged(closedParts, entriesByDispatcher.get(d));
        }
        for (int round = 0; round < 60; round++) {
            for (int d = 0; d < n; d++) {
                exchange(
                        random,
                        entriesByDispatcher.get(d),
                        entriesByDispatcher.get((d + 1 + random.nextInt(n - 1)) % n));
            }
        }
        TreeMap<EntryRef, Entry> all = new TreeMap<>();
        entriesByDispatcher.forEach(all::putAll);
        StatementCalculator reference = new StatementCalculator(CALENDAR, KEY_WINDOW_MILLIS);
        all.values().forEach(reference::add);
        for (int d = 0; d < n; d++) {
            assertEquals(
                    all.keySet(),
                    entriesByDispatcher.get(d).keySet(),
                    "all hold the same entries after enough exchanges");
            List<Entry> order = new ArrayList<>(entriesByDispatcher.get(d).values());
            Collections.shuffle(order, random);
            StatementCalculator calculator = new StatementCalculator(CALENDAR, KEY_WINDOW_MILLIS);
            order.forEach(calculator::add);
            assertEquals(List.copyOf(reference.periods()), List.copyOf(calculator.periods()));
            for (String period : reference.periods()) {
                assertEquals(reference.statement(period), calculator.statement(period));
            }
        }
        assertClosedPartsUnchanged(closedParts, all);
        assertEquals(
                expectedTotal(all),
                reference.periods().stream()
                        .mapToLong(p -> reference.statement(p).billed())
                        .sum());
    }

    /** Copies missing entries as whole tails of chains; one exchange in five is interrupted. */
    private static void exchange(Random random, TreeMap<EntryRef, Entry> to, TreeMap<EntryRef, Entry> from) {
        boolean interrupted = random.nextInt(5) == 0;
        int remaining = interrupted ? random.nextInt(3) : Integer.MAX_VALUE;
        for (Map.Entry<EntryRef, Entry> e : from.entrySet()) {
            EntryRef r = e.getKey();
            boolean follows = r.number() == 1 || to.containsKey(new EntryRef(r.origin(), r.number() - 1));
            if (!to.containsKey(r) && follows && remaining-- > 0) {
                to.put(r, e.getValue());
            }
        }
    }

    /** The closed part of each dispatcher stays as it was when it was first seen. */
    private static void assertClosedPartsUnchanged(Map<String, Statement> closedParts, TreeMap<EntryRef, Entry> held) {
        StatementCalculator calculator = new StatementCalculator(CALENDAR, KEY_WINDOW_MILLIS);
        held.values().forEach(calculator::add);
        for (String period : calculator.periods()) {
            for (int d = 0; d < 6; d++) {
                // Only the part of one dispatcher: it depends on nothing but the entries that its close covers.
                String name = "d" + d;
                BillingCalendar.Period p = CALENDAR.periodNamed(period).orElseThrow();
                if (calculator.isClosed(name, p)) {
                    Entry close = held.values().stream()
                            .filter(e -> e.kind() == Kind.CLOSE
                                    && e.ref().origin().dispatcher().equals(name)
                                    && e.parseClose().period().equals(p))
                            .findFirst()
                            .orElseThrow();
                    if (held.keySet().containsAll(coveredRefs(close))) {
                        Statement part = part(calculator, name, p);
                        Statement before = closedParts.putIfAbsent(name + " " + period, part);
                        assertEquals(before == null ? part : before, part);
                    }
                }
            }
        }
    }

    private static List<EntryRef> coveredRefs(Entry close) {
        List<EntryRef> refs = new ArrayList<>();
        close.parseClose().lastNumbers().forEach((o, last) -> {
            for (long i = 1; i <= last; i++) {
                refs.add(new EntryRef(o, i));
            }
        });
        return refs;
    }

    private static Statement part(StatementCalculator calculator, String dispatcher, BillingCalendar.Period period) {
        return calculator.dispatcherPart(dispatcher, period);
    }

    /** Computes the total billed work independently of the implementation. */
    private static long expectedTotal(TreeMap<EntryRef, Entry> all) {
        long sum = 0;
        for (Entry e : all.values()) {
            if (e.kind() != Kind.JOB && e.kind() != Kind.DOUBT) {
                continue;
            }
            Entry correction = all.values().stream()
                    .filter(c -> c.kind() == Kind.CORRECTION
                            && c.target().equals(e.ref())
                            && c.ref()
                                    .origin()
                                    .dispatcher()
                                    .equals(e.ref().origin().dispatcher()))
                    .findFirst()
                    .orElse(null);
            if (correction != null) {
                sum += correction.workSlotMicros();
            } else if (e.kind() == Kind.JOB && e.ending() == Ending.SERVED && !isRepeat(all, e)) {
                sum += e.workSlotMicros();
            }
        }
        return sum;
    }

    private static boolean isRepeat(TreeMap<EntryRef, Entry> all, Entry e) {
        if (e.keyHash() == null) {
            return false;
        }
        List<Entry> same = all.values().stream()
                .filter(o -> o.kind() == Kind.JOB
                        && o.ending() == Ending.SERVED
                        && e.keyHash().equals(o.keyHash())
                        && e.tenant().equals(o.tenant()))
                .sorted((a, b) -> a.timeMillis() != b.timeMillis()
                        ? Double.compare(a.timeMillis(), b.timeMillis())
                        : a.ref().compareTo(b.ref()))
                .toList();
        Entry billed = null;
        for (Entry o : same) {
            boolean repeat = billed != null && o.timeMillis() - billed.timeMillis() < KEY_WINDOW_MILLIS;
            if (o == e) {
                return repeat;
            }
            billed = repeat ? billed : o;
        }
        return false;
    }

    @Test
    void duplicateEntryCountsOnce() {
        StatementCalculator calculator = calculator(served(ref("a", 1, 1), NOVEMBER, "m", 10));
        assertFalse(calculator.add(served(ref("a", 1, 1), NOVEMBER, "m", 10)));
        assertEquals(10, calculator.statement("2026-11").billed());
    }
}
