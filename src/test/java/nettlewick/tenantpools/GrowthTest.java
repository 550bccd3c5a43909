package nettlewick.tenantpools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import nettlewick.tenantpools.PoolState.Money;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What runners cost, what is still to be spent, and what is asked of the provider when. */
class GrowthTest {
    private static final long HOUR = 3_600_000;
    /** An own clock that has nothing against it. */
    private static final long WALL = Long.MAX_VALUE;

    private static final long NOON = Instant.parse("2026-12-10T12:00:00Z").toEpochMilli();

    private static InstanceCharge bill(long since, long until) {
        return new InstanceCharge("x", "std", "a", since, until, 100, HOUR / 2);
    }

    @Test
    void timeIsBilledInTheMonthInWhichItRanAndAtLeastTheLeastTime() {
        SpendingCap.Cap cap = new SpendingCap.Cap(10_000, 0.95, ZoneOffset.UTC);
        long turn = Instant.parse("2026-12-01T00:00:00Z").toEpochMilli();
        List<InstanceCharge> over = List.of(bill(turn - 3 * HOUR, turn + 2 * HOUR));
        assertEquals(300, new SpendingCap(cap, YearMonth.of(2026, 11)).spent(over, NOON));
        assertEquals(200, new SpendingCap(cap, YearMonth.of(2026, 12)).spent(over, NOON));
        SpendingCap now = new SpendingCap(cap, YearMonth.of(2026, 12));
        assertEquals(1, now.spent(List.of(bill(NOON - 1000, 0)), NOON), "a second is a hundredth");
        assertEquals(50, now.spent(List.of(bill(NOON - HOUR, NOON - HOUR + 1)), NOON), "its least time");
        assertEquals(100, now.committed(List.of(bill(NOON, 0)), NOON, HOUR), "until someone can act");
        assertEquals(50, now.committed(List.of(bill(NOON, 0)), NOON, 0), "its least time");
        assertEquals(0, now.committed(List.of(bill(NOON - 2 * HOUR, NOON - HOUR)), NOON, HOUR));
    }

    @Test
    void monthsTurnInTheMembersZone() {
        ZoneId mauritius = ZoneId.of("Indian/Mauritius");
        long late = Instant.parse("2026-11-30T21:00:00Z").toEpochMilli();
        assertEquals(YearMonth.of(2026, 12), SpendingCap.monthOf(late, mauritius));
        assertEquals(YearMonth.of(2026, 11), SpendingCap.monthOf(late, ZoneOffset.UTC));
    }

    /** Whatever runs: one more is within the means only if all that is owed with it stays under the mark. */
    @Property(tries = 500)
    void whatIsAffordedStaysUnderTheMark(
            @ForAll @IntRange(min = 0, max = 12) int running,
            @ForAll @LongRange(min = 0, max = 20 * HOUR) long age,
            @ForAll @IntRange(min = 0, max = 5000) int capCents,
            @ForAll @IntRange(min = 1, max = 50) int wanted) {
        SpendingCap.Cap cap = new SpendingCap.Cap(capCents, 0.95, ZoneOffset.UTC);
        List<InstanceCharge> bills = new java.util.ArrayList<>();
        for (int i = 0; i < running; i++) {
            bills.add(bill(NOON - age * (i + 1) / (running + 1), i % 3 == 0 ? NOON - age * i / (running + 1) : 0));
        }
        SpendingCap s = new SpendingCap(cap, YearMonth.of(2026, 12));
        int more = s.affords(bills, NOON, HOUR, wanted, 100, 0);
        long owed = s.spent(bills, NOON) + s.committed(bills, NOON, HOUR) + more * 100L;
        assertTrue(more == 0 || owed < capCents * 0.95, owed + " of " + capCents);
        assertTrue(more == wanted || owed + 100 >= Math.floor(capCents * 0.95), "one more would not have been");
    }

    private static ProviderReport told(int size, long date, double at, InstanceCharge... bills) {
        return new ProviderReport(size, "7", List.of(bills), date, at);
    }

    @Test
    void anIntentIsStoredBeforeTheProviderIsAskedAndSettledByItsList() {
        ScaleOutPolicy growth = new ScaleOutPolicy(GrowthWorld.TERMS);
        Money m = new Money("2026-12", null, "");
        assertTrue(growth.next(m, null, 2, 0, WALL, "k").list(), "nothing without a list");
        ProviderReport empty = told(0, NOON, 0);
        Money intent = growth.next(m, empty, 2, 0, WALL, "k").store();
        assertEquals(2, intent.intent().size());
        ScaleOutPolicy.Next next = growth.next(intent, empty, 2, 0, WALL, "l");
        assertEquals("k", next.put().key());
        // Another holder finds it, whatever it wants itself, and asks with the same key.
        assertEquals(
                "k",
                new ScaleOutPolicy(GrowthWorld.TERMS)
                        .next(intent, empty, 5, 0, WALL, "other")
                        .put()
                        .key());
        assertNull(
                growth.next(intent, told(2, NOON, 0), 2, 0, WALL, "l").store().intent());
    }

    @Test
    void pastTheNearMarkNothingIsAddedAndSaidOnceAMonth() {
        ScaleOutPolicy growth = new ScaleOutPolicy(GrowthWorld.TERMS);
        Money m = new Money("2026-12", null, "");
        // 100 a minute, 950 to spend: eight are within the means, the ninth is not.
        ProviderReport empty = told(0, NOON, 0);
        Money near = growth.next(m, empty, 20, 0, WALL, "k").store();
        assertEquals("2026-12", near.near());
        Money intent = growth.next(near, empty, 20, 0, WALL, "k").store();
        assertEquals(9, intent.intent().size());
        InstanceCharge[] bills = new InstanceCharge[9];
        java.util.Arrays.setAll(
                bills, i -> new InstanceCharge("x" + i, "std", "a", NOON, 0, GrowthWorld.CENTS, GrowthWorld.LEAST));
        assertSame(ScaleOutPolicy.Next.NOTHING, growth.next(near, told(9, NOON, 0, bills), 20, 0, WALL, "k"));
        assertSame(ScaleOutPolicy.Next.NOTHING, growth.next(near, told(9, NOON, 0, bills), -1, 0, WALL, "k"));
    }

    @Test
    void aMonthNeverComesTwiceAndTheNextOneOpensItsMoneyAlone() {
        ScaleOutPolicy growth = new ScaleOutPolicy(GrowthWorld.TERMS);
        long next = Instant.parse("2027-01-01T00:00:01Z").toEpochMilli();
        Money money = growth.next(new Money("2026-12", null, "2026-12"), told(0, next, 0), 1, 0, WALL, "k")
                .store();
        assertEquals("2027-01", money.month());
        assertSame(ScaleOutPolicy.Next.NOTHING, growth.next(money, told(0, NOON, 0), 1, 0, WALL, "k"), "set back");
        assertNotNull(
                growth.next(money, told(0, next, 0), 1, 0, WALL, "k").store().intent());
        ScaleOutPolicy.Next ahead = growth.next(new Money("2026-12", null, ""), told(0, next, 0), 1, 0, NOON, "k");
        assertSame(ScaleOutPolicy.Next.NOTHING, ahead, "the provider's clock alone opens no month");
    }

    @Test
    void atTheCapItselfAllIsHandedBackWhereThatIsWanted() {
        ScaleOutPolicy.Terms back =
                new ScaleOutPolicy.Terms(GrowthWorld.TERMS.cap(), GrowthWorld.CENTS, GrowthWorld.LEAST, 10_000, true);
        InstanceCharge old = new InstanceCharge("x", "std", "a", NOON - HOUR, 0, GrowthWorld.CENTS, GrowthWorld.LEAST);
        Money m = new Money("2026-12", null, "2026-12");
        assertEquals(
                0,
                new ScaleOutPolicy(back)
                        .next(m, told(1, NOON, 0, old), 1, 0, WALL, "k")
                        .store()
                        .intent()
                        .size());
        assertSame(
                ScaleOutPolicy.Next.NOTHING,
                new ScaleOutPolicy(GrowthWorld.TERMS).next(m, told(1, NOON, 0, old), 1, 0, WALL, "k"));
    }

    private static final int WALKS = Integer.getInteger("search.walks", 1500);
    private static final int STEPS = 300;

    @Test
    void nothingIsEverAddedPastTheMarkAndAllSettlesOnceFaultsStop() {
        int puts = 0;
        int stale = 0;
        for (int walk = 0; walk < WALKS; walk++) {
            GrowthWorld world = new GrowthWorld(walk, GrowthWorld.Bug.NONE);
            for (int i = 0; i < STEPS; i++) {
                world.step();
            }
            assertEquals(List.of(), world.provider.breaks(), "walk " + walk);
            world.settle();
            assertEquals(List.of(), world.provider.breaks(), "walk " + walk);
            assertTrue(world.settled(), "walk " + walk);
            puts += world.puts;
            stale += world.provider.counts().get("stale_acts_tried");
        }
        System.out.println("growth_walks=" + WALKS + " puts=" + puts + " stale_acts_refused=" + stale);
        assertTrue(stale > 0 && puts > WALKS);
    }

    /** A search that finds none of these proves nothing. */
    @ParameterizedTest
    @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aSeededBugIsFound(GrowthWorld.Bug bug) {
        for (int walk = 0; walk < 20 * WALKS; walk++) {
            GrowthWorld world = new GrowthWorld(walk, bug);
            for (int i = 0; i < STEPS; i++) {
                world.step();
                if (!world.provider.breaks().isEmpty()) {
                    return;
                }
            }
        }
        throw new AssertionError(bug + " was not found");
    }
}
