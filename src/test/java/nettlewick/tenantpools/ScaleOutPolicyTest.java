package nettlewick.tenantpools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import nettlewick.tenantpools.PoolState.Budget;
import nettlewick.tenantpools.PoolState.ResizeRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What instances cost, what the budget still allows, and when the provider is asked for which size. */
class ScaleOutPolicyTest {
    private static final long HOUR = 3_600_000;
    private static final ScaleOutDecision NOTHING = new ScaleOutDecision.Nothing();
    /** A local clock that is past every month. */
    private static final long WALL = Long.MAX_VALUE;

    private static final long NOON = Instant.parse("2026-12-10T12:00:00Z").toEpochMilli();

    private static InstanceCharge charge(long since, long until) {
        return new InstanceCharge("x", "std", "a", since, until, 100, HOUR / 2);
    }

    @Test
    void timeIsBilledInItsMonthAndForAtLeastTheMinimum() {
        SpendingCap.MonthlyCap cap = new SpendingCap.MonthlyCap(10_000, 0.95, ZoneOffset.UTC);
        long turn = Instant.parse("2026-12-01T00:00:00Z").toEpochMilli();
        List<InstanceCharge> over = List.of(charge(turn - 3 * HOUR, turn + 2 * HOUR));
        assertEquals(300, new SpendingCap(cap, YearMonth.of(2026, 11)).spentCents(over, NOON));
        assertEquals(200, new SpendingCap(cap, YearMonth.of(2026, 12)).spentCents(over, NOON));
        SpendingCap now = new SpendingCap(cap, YearMonth.of(2026, 12));
        assertEquals(1, now.spentCents(List.of(charge(NOON - 1000, 0)), NOON), "a second is a hundredth");
        assertEquals(50, now.spentCents(List.of(charge(NOON - HOUR, NOON - HOUR + 1)), NOON), "its least time");
        assertEquals(100, now.committedCents(List.of(charge(NOON, 0)), NOON, HOUR), "until someone can act");
        assertEquals(50, now.committedCents(List.of(charge(NOON, 0)), NOON, 0), "its least time");
        assertEquals(0, now.committedCents(List.of(charge(NOON - 2 * HOUR, NOON - HOUR)), NOON, HOUR));
    }

    @Test
    void monthsBeginInTheConfiguredTimeZone() {
        ZoneId mauritius = ZoneId.of("Indian/Mauritius");
        long late = Instant.parse("2026-11-30T21:00:00Z").toEpochMilli();
        assertEquals(YearMonth.of(2026, 12), SpendingCap.monthOf(late, mauritius));
        assertEquals(YearMonth.of(2026, 11), SpendingCap.monthOf(late, ZoneOffset.UTC));
    }

    /** Whatever runs: more is affordable only if everything owed with it stays below the near mark. */
    @Property(tries = 500)
    void affordableEndpointsKeepSpendingBelowTheNearMark(
            @ForAll @IntRange(min = 0, max = 12) int running,
            @ForAll @LongRange(min = 0, max = 20 * HOUR) long age,
            @ForAll @IntRange(min = 0, max = 5000) int capCents,
            @ForAll @IntRange(min = 1, max = 50) int wanted) {
        SpendingCap.MonthlyCap cap = new SpendingCap.MonthlyCap(capCents, 0.95, ZoneOffset.UTC);
        List<InstanceCharge> charges = new ArrayList<>();
        for (int i = 0; i < running; i++) {
            charges.add(charge(NOON - age * (i + 1) / (running + 1), i % 3 == 0 ? NOON - age * i / (running + 1) : 0));
        }
        SpendingCap spending = new SpendingCap(cap, YearMonth.of(2026, 12));
        int more = spending.affordableCount(charges, NOON, HOUR, wanted, 100, 0);
        long owed = spending.spentCents(charges, NOON) + spending.committedCents(charges, NOON, HOUR) + more * 100L;
        assertTrue(more == 0 || owed < capCents * 0.95, owed + " of " + capCents);
        assertTrue(more == wanted || owed + 100 >= Math.floor(capCents * 0.95), "one more would have been affordable");
    }

    private static Budget stored(ScaleOutDecision decision) {
        return assertInstanceOf(ScaleOutDecision.Store.class, decision).budget();
    }

    private static ResizeRequest sent(ScaleOutDecision decision) {
        return assertInstanceOf(ScaleOutDecision.Resize.class, decision).request();
    }

    private static ProviderReport report(int size, long date, double at, InstanceCharge... charges) {
        return new ProviderReport(size, "7", List.of(charges), date, at);
    }

    @Test
    void aResizeIsStoredBeforeItIsRequestedAndClearedByTheReport() {
        ScaleOutPolicy policy = new ScaleOutPolicy(ScaleOutSimulation.SETTINGS);
        Budget budget = new Budget("2026-12", null, "");
        assertInstanceOf(ScaleOutDecision.FetchReport.class, policy.decide(budget, null, 2, 0, WALL, "k"));
        ProviderReport empty = report(0, NOON, 0);
        Budget resizing = stored(policy.decide(budget, empty, 2, 0, WALL, "k"));
        assertEquals(2, resizing.pendingResize().size());
        assertEquals("k", sent(policy.decide(resizing, empty, 2, 0, WALL, "l")).idempotencyKey());
        // Another holder sends the stored resize under the same key, whatever size it wants itself.
        assertEquals(
                "k",
                sent(new ScaleOutPolicy(ScaleOutSimulation.SETTINGS).decide(resizing, empty, 5, 0, WALL, "other"))
                        .idempotencyKey());
        assertNull(stored(policy.decide(resizing, report(2, NOON, 0), 2, 0, WALL, "l"))
                .pendingResize());
    }

    @Test
    void nothingIsAddedPastTheNearMarkAndItIsRecordedOnceAMonth() {
        ScaleOutPolicy policy = new ScaleOutPolicy(ScaleOutSimulation.SETTINGS);
        Budget budget = new Budget("2026-12", null, "");
        // Each costs 100 for its first minute and 950 may be spent: nine are affordable, the tenth is not.
        ProviderReport empty = report(0, NOON, 0);
        Budget near = stored(policy.decide(budget, empty, 20, 0, WALL, "k"));
        assertEquals("2026-12", near.nearCapMonth());
        Budget resizing = stored(policy.decide(near, empty, 20, 0, WALL, "k"));
        assertEquals(9, resizing.pendingResize().size());
        InstanceCharge[] charges = new InstanceCharge[9];
        Arrays.setAll(
                charges,
                i -> new InstanceCharge(
                        "x" + i,
                        "std",
                        "a",
                        NOON,
                        0,
                        ScaleOutSimulation.CENTS_PER_HOUR,
                        ScaleOutSimulation.MIN_BILLED_MILLIS));
        assertEquals(NOTHING, policy.decide(near, report(9, NOON, 0, charges), 20, 0, WALL, "k"));
        assertEquals(NOTHING, policy.decide(near, report(9, NOON, 0, charges), -1, 0, WALL, "k"));
    }

    @Test
    void aMonthNeverRepeatsAndOpensOnlyItsOwnBudget() {
        ScaleOutPolicy policy = new ScaleOutPolicy(ScaleOutSimulation.SETTINGS);
        long nextMonth = Instant.parse("2027-01-01T00:00:01Z").toEpochMilli();
        Budget next =
                stored(policy.decide(new Budget("2026-12", null, "2026-12"), report(0, nextMonth, 0), 1, 0, WALL, "k"));
        assertEquals("2027-01", next.month());
        assertEquals(NOTHING, policy.decide(next, report(0, NOON, 0), 1, 0, WALL, "k"), "set back");
        assertNotNull(stored(policy.decide(next, report(0, nextMonth, 0), 1, 0, WALL, "k"))
                .pendingResize());
        ScaleOutDecision ahead =
                policy.decide(new Budget("2026-12", null, ""), report(0, nextMonth, 0), 1, 0, NOON, "k");
        assertEquals(NOTHING, ahead, "the provider's clock alone opens no month");
    }

    @Test
    void allEndpointsAreReleasedAtTheCapIfConfigured() {
        ScaleOutPolicy.ScaleOutSettings releasing = new ScaleOutPolicy.ScaleOutSettings(
                ScaleOutSimulation.SETTINGS.cap(),
                ScaleOutSimulation.CENTS_PER_HOUR,
                ScaleOutSimulation.MIN_BILLED_MILLIS,
                10_000,
                true);
        InstanceCharge old = new InstanceCharge(
                "x",
                "std",
                "a",
                NOON - HOUR,
                0,
                ScaleOutSimulation.CENTS_PER_HOUR,
                ScaleOutSimulation.MIN_BILLED_MILLIS);
        Budget budget = new Budget("2026-12", null, "2026-12");
        assertEquals(
                0,
                stored(new ScaleOutPolicy(releasing).decide(budget, report(1, NOON, 0, old), 1, 0, WALL, "k"))
                        .pendingResize()
                        .size());
        assertEquals(
                NOTHING,
                new ScaleOutPolicy(ScaleOutSimulation.SETTINGS)
                        .decide(budget, report(1, NOON, 0, old), 1, 0, WALL, "k"));
    }

    private static final int WALKS = Integer.getInteger("search.walks", 1500);
    private static final int STEPS = 300;

    @Test
    void nothingIsAddedPastTheMarkUnderFaultsAndAllSettlesAfterwards() {
        int resizes = 0;
        int stale = 0;
        for (int walk = 0; walk < WALKS; walk++) {
            ScaleOutSimulation simulation = new ScaleOutSimulation(walk, ScaleOutSimulation.Bug.NONE);
            for (int i = 0; i < STEPS; i++) {
                simulation.step();
            }
            assertEquals(List.of(), simulation.provider.violations(), "walk " + walk);
            simulation.runWithoutFaults();
            assertEquals(List.of(), simulation.provider.violations(), "walk " + walk);
            assertTrue(simulation.isSettled(), "walk " + walk);
            resizes += simulation.resizeRequests;
            stale += simulation.provider.counts().get("stale_acts_tried");
        }
        System.out.println("growth_walks=" + WALKS + " puts=" + resizes + " stale_acts_refused=" + stale);
        assertTrue(stale > 0 && resizes > WALKS);
    }

    /** A search that misses a seeded bug would prove nothing. */
    @ParameterizedTest
    @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aSeededBugIsFound(ScaleOutSimulation.Bug bug) {
        for (int walk = 0; walk < 20 * WALKS; walk++) {
            ScaleOutSimulation simulation = new ScaleOutSimulation(walk, bug);
            for (int i = 0; i < STEPS; i++) {
                simulation.step();
                if (!simulation.provider.violations().isEmpty()) {
                    return;
                }
            }
        }
        throw new AssertionError(bug + " was not found");
    }
}
