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

/** The accounts, case by case, and as a function of a set against a small model. */
class StatementCalculatorTest {
    private static final double NOVEMBER = 1793491200000.0;
    private static final double DECEMBER = NOVEMBER + 30 * 8.64e7;
    private static final BillingCalendar TERMS = new BillingCalendar(ZoneOffset.UTC, List.of());
    private static final double WINDOW = 15_000;

    private static StatementCalculator book(Entry... entries) {
        StatementCalculator book = new StatementCalculator(TERMS, WINDOW);
        for (Entry e : entries) {
            assertTrue(book.add(e));
        }
        return book;
    }

    private static Entry close(EntryRef ref, Map<ChainOrigin, Long> vector) {
        return Entry.close(ref, DECEMBER + 10, TERMS.periodAt(NOVEMBER), vector, "op");
    }

    @Test
    void theMillisecondOfTheLastByteDecidesFromBothSides() {
        StatementCalculator book = book(
                served(ref("a", 1, 1), DECEMBER - 1, "m", 3),
                served(ref("a", 1, 2), DECEMBER, "m", 5),
                served(ref("a", 1, 3), Math.nextDown(DECEMBER), "m", 7));
        assertEquals(10, book.statement("2026-11").billed());
        assertEquals(5, book.statement("2026-12").billed());
    }

    @Test
    void refusalsFailuresAndClientsThatLeftAreCountedAndNotBilled() {
        StatementCalculator book = book(
                job(ref("a", 1, 1), NOVEMBER, "m", null, Ending.REFUSED, 9),
                job(ref("a", 1, 2), NOVEMBER, "m", null, Ending.FAILED, 9),
                job(ref("a", 1, 3), NOVEMBER, "m", null, Ending.LEFT, 9),
                served(ref("a", 1, 4), NOVEMBER, "m", 4));
        assertEquals(
                List.of(new Statement.Row("m", "save-run", 1, 1, 1, 1, 4, 0, 20, 0, 0, 0)),
                book.statement("2026-11").rows());
    }

    @Test
    void aClosedStatementNeverChangesAndWhatIsFoundLaterNamesIt() {
        ChainOrigin a = new ChainOrigin("a", 1);
        StatementCalculator book = book(
                served(new EntryRef(a, 1), NOVEMBER, "m", 10),
                served(new EntryRef(a, 2), NOVEMBER, "n", 20),
                close(ref("a", 2, 1), Map.of(a, 2L)));
        Statement closed = book.statement("2026-11");
        assertTrue(closed.closed());
        assertEquals(30, closed.billed());
        book.add(served(new EntryRef(a, 3), NOVEMBER + 5, "m", 4));
        book.add(Entry.correction(ref("a", 3, 1), DECEMBER + 20, book.entry(new EntryRef(a, 2)), 15, "op", "wrong"));
        assertEquals(closed, book.statement("2026-11"));
        assertEquals(
                List.of(
                        new Statement.Late("2026-11", "m", "save-run", 1, 4),
                        new Statement.Late("2026-11", "n", "save-run", 1, -5)),
                book.statement("2026-12").late());
        assertEquals(-1, book.statement("2026-12").billed());
    }

    @Test
    void correctionsOfEveryKindHaveAnAnswer() {
        EntryRef target = ref("a", 1, 1);
        Entry entry = served(target, NOVEMBER, "m", 10);
        Entry first = Entry.correction(ref("a", 1, 2), NOVEMBER + 1, entry, 6, "op", "r");
        Entry second = Entry.correction(ref("a", 1, 3), NOVEMBER + 2, entry, 7, "op", "r");
        Entry ofCorrection = Entry.correction(ref("a", 1, 4), NOVEMBER + 3, first, 8, "op", "r");
        Entry ofNone = Entry.correction(ref("a", 1, 5), NOVEMBER + 4, served(ref("a", 1, 99), 1, "m", 1), 8, "op", "r");
        Entry foreign = Entry.correction(ref("b", 1, 1), NOVEMBER + 4, entry, 9, "op", "r");
        StatementCalculator book = book(foreign, second, ofNone, ofCorrection, first, entry);
        assertEquals(6, book.statement("2026-11").billed());
        assertEquals(first, book.correction(target));
        assertEquals(
                List.of(
                        "the entry was corrected before",
                        "a correction is not corrected",
                        "its entry is not held here, or not yet",
                        "only the entry's own dispatcher corrects it"),
                book.statement("2026-11").voided().stream()
                        .map(Statement.VoidedCorrection::why)
                        .toList());
    }

    @Test
    void aKeyAnsweredAtTwoDispatchersIsBilledOnceWhicheverIsHeardFirst() {
        Entry early = job(ref("b", 1, 1), NOVEMBER, "m", "k", Ending.SERVED, 10);
        Entry late = job(ref("a", 1, 1), NOVEMBER + 14_999, "m", "k", Ending.SERVED, 11);
        Entry later = job(ref("a", 1, 2), NOVEMBER + 15_000, "m", "k", Ending.SERVED, 12);
        Entry other = job(ref("a", 1, 3), NOVEMBER, "n", "k", Ending.SERVED, 100);
        Entry same = job(ref("c", 1, 1), NOVEMBER, "m", "k", Ending.SERVED, 1000);
        for (List<Entry> order :
                List.of(List.of(early, late, later, other, same), List.of(same, other, later, late, early))) {
            Statement s = book(order.toArray(Entry[]::new)).statement("2026-11");
            assertEquals(10 + 12 + 100, s.billed());
            assertEquals(2, s.rows().stream().mapToLong(Statement.Row::repeats).sum());
        }
    }

    @Test
    void aRepeatFoundAfterTheCloseIsTakenBackInTheOpenPeriod() {
        ChainOrigin a = new ChainOrigin("a", 1);
        StatementCalculator book = book(
                job(new EntryRef(a, 1), NOVEMBER + 9, "m", "k", Ending.SERVED, 10),
                close(ref("a", 2, 1), Map.of(a, 1L)));
        Statement closed = book.statement("2026-11");
        book.add(job(ref("b", 1, 1), NOVEMBER, "m", "k", Ending.SERVED, 12));
        Statement.Late back = book.statement("2026-12").late().get(0);
        assertEquals(new Statement.Late("2026-11", "m", "save-run", 1, -10), back);
        assertEquals(List.of("b"), book.statement("2026-11").open());
        assertEquals(
                closed.rows().get(0).billed() + 12, book.statement("2026-11").billed(), "b's part is open");
    }

    @Test
    void namesThatLookAlikeWhenJoinedStayApart() {
        StatementCalculator book =
                book(served(ref("a", 1, 1), NOVEMBER, "x, y", 1), served(ref("a", 1, 2), NOVEMBER, "x", 2));
        assertEquals(2, book.statement("2026-11").rows().size());
    }

    /**
     * Six dispatchers that each write jobs, corrections and closes, crash, and exchange entries with one in
     * five
     * exchanges lost: in the end all state the same, totals are those of a plain model, and no statement that
     * was closed has changed since.
     */
    @Property(tries = 150, seed = "41")
    void sixDispatchersStateTheSame(@ForAll long seed) {
        Random random = new Random(seed);
        int n = 6;
        List<TreeMap<EntryRef, Entry>> held = new ArrayList<>();
        List<List<Entry>> logs = new ArrayList<>();
        long[] life = new long[n];
        long[] number = new long[n];
        Map<String, Statement> frozen = new TreeMap<>();
        for (int i = 0; i < n; i++) {
            held.add(new TreeMap<>());
            logs.add(new ArrayList<>());
            life[i] = 1;
        }
        double now = NOVEMBER + 20 * 8.64e7;
        for (int step = 0; step < 120; step++) {
            int d = random.nextInt(n);
            ChainOrigin own = new ChainOrigin("d" + d, life[d]);
            now += random.nextInt(4) == 0 ? random.nextInt(3) * 8.64e7 : random.nextInt(20_000);
            EntryRef next = new EntryRef(own, number[d] + 1);
            int what = random.nextInt(20);
            Entry made = null;
            if (what < 11) {
                String key = random.nextBoolean() ? null : "k" + random.nextInt(4);
                Ending end = random.nextInt(5) == 0 ? Ending.values()[1 + random.nextInt(3)] : Ending.SERVED;
                double at = random.nextInt(6) == 0 ? now - random.nextInt(30) * 8.64e7 : now;
                made = job(next, at, "m" + random.nextInt(3), key, end, 1 + random.nextInt(1000));
                if (random.nextInt(12) == 0) {
                    made = new Entry(
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
            } else if (what < 13) {
                List<Entry> mine = new ArrayList<>(held.get(d).values());
                if (!mine.isEmpty()) {
                    Entry target = mine.get(random.nextInt(mine.size()));
                    made = Entry.correction(next, now, target, random.nextInt(500), "op", "r");
                }
            } else if (what == 13) {
                StatementCalculator book = new StatementCalculator(TERMS, WINDOW);
                held.get(d).values().forEach(book::add);
                BillingCalendar.Period first = book.firstOpenPeriod("d" + d);
                if (first != null && first.to() <= now) {
                    Map<ChainOrigin, Long> vector = new TreeMap<>();
                    held.get(d).keySet().forEach(r -> vector.merge(r.origin(), r.number(), Math::max));
                    made = Entry.close(next, now, first, vector, "op");
                }
            } else if (what == 14) {
                life[d]++;
                number[d] = 0;
            } else {
                exchange(random, held.get(d), held.get(random.nextInt(n)));
            }
            if (made != null) {
                number[d]++;
                held.get(d).put(next, made);
            }
            check(frozen, held.get(d));
        }
        for (int round = 0; round < 60; round++) {
            for (int d = 0; d < n; d++) {
                exchange(random, held.get(d), held.get((d + 1 + random.nextInt(n - 1)) % n));
            }
        }
        TreeMap<EntryRef, Entry> all = new TreeMap<>();
        held.forEach(all::putAll);
        StatementCalculator one = new StatementCalculator(TERMS, WINDOW);
        all.values().forEach(one::add);
        for (int d = 0; d < n; d++) {
            assertEquals(all.keySet(), held.get(d).keySet(), "after enough exchanges all hold the same");
            List<Entry> order = new ArrayList<>(held.get(d).values());
            Collections.shuffle(order, random);
            StatementCalculator book = new StatementCalculator(TERMS, WINDOW);
            order.forEach(book::add);
            assertEquals(List.copyOf(one.periods()), List.copyOf(book.periods()));
            for (String period : one.periods()) {
                assertEquals(one.statement(period), book.statement(period));
            }
        }
        check(frozen, all);
        assertEquals(
                model(all),
                one.periods().stream().mapToLong(p -> one.statement(p).billed()).sum());
    }

    /** One side fetches what it lacks, by whole tails of chains; one exchange in five is lost halfway. */
    private static void exchange(Random random, TreeMap<EntryRef, Entry> to, TreeMap<EntryRef, Entry> from) {
        boolean lost = random.nextInt(5) == 0;
        int left = lost ? random.nextInt(3) : Integer.MAX_VALUE;
        for (Map.Entry<EntryRef, Entry> e : from.entrySet()) {
            EntryRef r = e.getKey();
            boolean follows = r.number() == 1 || to.containsKey(new EntryRef(r.origin(), r.number() - 1));
            if (!to.containsKey(r) && follows && left-- > 0) {
                to.put(r, e.getValue());
            }
        }
    }

    /** A statement that all known dispatchers have closed stays as it was when it was first seen so. */
    private static void check(Map<String, Statement> frozen, TreeMap<EntryRef, Entry> held) {
        StatementCalculator book = new StatementCalculator(TERMS, WINDOW);
        held.values().forEach(book::add);
        for (String period : book.periods()) {
            for (int d = 0; d < 6; d++) {
                // Each dispatcher's closed part alone: what it covered is all that it depends on.
                String name = "d" + d;
                BillingCalendar.Period p = TERMS.periodNamed(period).orElseThrow();
                if (book.isClosed(name, p)) {
                    Entry close = held.values().stream()
                            .filter(e -> e.kind() == Kind.CLOSE
                                    && e.ref().origin().dispatcher().equals(name)
                                    && e.parseClose().period().equals(p))
                            .findFirst()
                            .orElseThrow();
                    if (held.keySet().containsAll(covered(close))) {
                        Statement part = part(book, name, p);
                        Statement before = frozen.putIfAbsent(name + " " + period, part);
                        assertEquals(before == null ? part : before, part);
                    }
                }
            }
        }
    }

    private static List<EntryRef> covered(Entry close) {
        List<EntryRef> refs = new ArrayList<>();
        close.parseClose().lastNumbers().forEach((o, last) -> {
            for (long i = 1; i <= last; i++) {
                refs.add(new EntryRef(o, i));
            }
        });
        return refs;
    }

    private static Statement part(StatementCalculator book, String dispatcher, BillingCalendar.Period period) {
        return book.dispatcherPart(dispatcher, period);
    }

    /** What everything together is worth, worked out the long way. */
    private static long model(TreeMap<EntryRef, Entry> all) {
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
            } else if (e.kind() == Kind.JOB && e.ending() == Ending.SERVED && !repeat(all, e)) {
                sum += e.workSlotMicros();
            }
        }
        return sum;
    }

    private static boolean repeat(TreeMap<EntryRef, Entry> all, Entry e) {
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
            boolean repeat = billed != null && o.timeMillis() - billed.timeMillis() < WINDOW;
            if (o == e) {
                return repeat;
            }
            billed = repeat ? billed : o;
        }
        return false;
    }

    @Test
    void anEntryHeldTwiceCountsOnce() {
        StatementCalculator book = book(served(ref("a", 1, 1), NOVEMBER, "m", 10));
        assertFalse(book.add(served(ref("a", 1, 1), NOVEMBER, "m", 10)));
        assertEquals(10, book.statement("2026-11").billed());
    }
}
