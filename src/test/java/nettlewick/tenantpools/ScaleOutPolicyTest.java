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

/** The cost of instances, the remaining budget, and the sizes requested from the provider. */
class ScaleOutPolicyTest {
    private static final long HOUR_MILLIS = 3_600_000;
    private static final ScaleOutDecision NO_ACTION = new ScaleOutDecision.NoAction();
    /** A local wall clock that is past every month. */
    private static final long WALL_MILLIS = Long.MAX_VALUE;

    private static final long NOON_MILLIS =
            Instant.parse("2026-12-10T12:00:00Z").toEpochMilli();

    private static InstanceCharge charge(long startedAtMillis, long endedAtMillis) {
        return new InstanceCharge("x", "std", "a", startedAtMillis, endedAtMillis, 100, HOUR_MILLIS / 2);
    }

    @Test
    void timeIsBilledInItsMonthAndForAtLeastTheMinimum() {
        SpendingCap.MonthlyCap cap = new SpendingCap.MonthlyCap(10_000, 0.95, ZoneOffset.UTC);
        long monthStartMillis = Instant.parse("2026-12-01T00:00:00Z").toEpochMilli();
        List<InstanceCharge> spanning =
                List.of(charge(monthStartMillis - 3 * HOUR_MILLIS, monthStartMillis + 2 * HOUR_MILLIS));
        assertEquals(300, new SpendingCap(cap, YearMonth.of(2026, 11)).spentCents(spanning, NOON_MILLIS));
        assertEquals(200, new SpendingCap(cap, YearMonth.of(2026, 12)).spentCents(spanning, NOON_MILLIS));
        SpendingCap december = new SpendingCap(cap, YearMonth.of(2026, 12));
        assertEquals(
                1,
                december.spentCents(List.of(charge(NOON_MILLIS - 1000, 0)), NOON_MILLIS),
                "a second is rounded up to a cent");
        assertEquals(
                50,
                december.spentCents(
                        List.of(charge(NOON_MILLIS - HOUR_MILLIS, NOON_MILLIS - HOUR_MILLIS + 1)), NOON_MILLIS),
                "the minimum billed time");
        assertEquals(
                100,
                december.committedCents(List.of(charge(NOON_MILLIS, 0)), NOON_MILLIS, HOUR_MILLIS),
                "billed until the reaction time is over");
        assertEquals(
                50,
                december.committedCents(List.of(charge(NOON_MILLIS, 0)), NOON_MILLIS, 0),
                "the minimum billed time");
        assertEquals(
                0,
                december.committedCents(
                        List.of(charge(NOON_MILLIS - 2 * HOUR_MILLIS, NOON_MILLIS - HOUR_MILLIS)),
                        NOON_MILLIS,
                        HOUR_MILLIS));
    }

    @Test
    void monthsBeginInTheConfiguredTimeZone() {
        ZoneId mauritius = ZoneId.of("Indian/Mauritius");
        long millis = Instant.parse("2026-11-30T21:00:00Z").toEpochMilli();
        assertEquals(YearMonth.of(2026, 12), SpendingCap.monthOf(millis, mauritius));
        assertEquals(YearMonth.of(2026, 11), SpendingCap.monthOf(millis, ZoneOffset.UTC));
    }

    /** More instances are affordable only if all costs including theirs stay below the near-cap threshold. */
    @Property(tries = 500)
    void affordableEndpointsKeepSpendingBelowTheNearCap(
            @ForAll @IntRange(min = 0, max = 12) int running,
            @ForAll @LongRange(min = 0, max = 20 * HOUR_MILLIS) long ageMillis,
            @ForAll @IntRange(min = 0, max = 5000) int capCents,
            @ForAll @IntRange(min = 1, max = 50) int wanted) {
        SpendingCap.MonthlyCap cap = new SpendingCap.MonthlyCap(capCents, 0.95, ZoneOffset.UTC);
        List<InstanceCharge> charges = new ArrayList<>();
        for (int i = 0; i < running; i++) {
            charges.add(charge(
                    NOON_MILLIS - ageMillis * (i + 1) / (running + 1),
                    i % 3 == 0 ? NOON_MILLIS - ageMillis * i / (running + 1) : 0));
        }
        SpendingCap spending = new SpendingCap(cap, YearMonth.of(2026, 12));
        int affordable = spending.affordableCount(charges, NOON_MILLIS, HOUR_MILLIS, wanted, 100, 0);
        long totalCents = spending.spentCents(charges, NOON_MILLIS)
                + spending.committedCents(charges, NOON_MILLIS, HOUR_MILLIS)
                + affordable * 100L;
        assertTrue(affordable == 0 || totalCents < capCents * 0.95, totalCents + " of " + capCents);
        assertTrue(
                affordable == wanted || totalCents + 100 >= Math.floor(capCents * 0.95),
                "one more would have been affordable");
    }

    private static Budget storedBudget(ScaleOutDecision decision) {
        return assertInstanceOf(ScaleOutDecision.StoreBudget.class, decision).budget();
    }

    private static ResizeRequest sentRequest(ScaleOutDecision decision) {
        return assertInstanceOf(ScaleOutDecision.Resize.class, decision).request();
    }

    private static ProviderReport report(
            int size, long providerTimeMillis, double requestedAtMillis, InstanceCharge... charges) {
        return new ProviderReport(size, "7", List.of(charges), providerTimeMillis, requestedAtMillis);
    }

    @Test
    void aResizeIsStoredBeforeItIsRequestedAndClearedByTheReport() {
        ScaleOutPolicy policy = new ScaleOutPolicy(ScaleOutSimulation.SETTINGS);
        Budget budget = new Budget("2026-12", null, "");
        assertInstanceOf(ScaleOutDecision.FetchReport.class, policy.decide(budget, null, 2, 0, WALL_MILLIS, "k"));
        ProviderReport empty = report(0, NOON_MILLIS, 0);
        Budget resizing = storedBudget(policy.decide(budget, empty, 2, 0, WALL_MILLIS, "k"));
        assertEquals(2, resizing.pendingResize().size());
        assertEquals(
                "k",
                sentRequest(policy.decide(resizing, empty, 2, 0, WALL_MILLIS, "l"))
                        .idempotencyKey());
        // Another holder sends the stored resize with the same key, even if it would request another size itself.
        assertEquals(
                "k",
                sentRequest(new ScaleOutPolicy(ScaleOutSimulation.SETTINGS)
                                .decide(resizing, empty, 5, 0, WALL_MILLIS, "other"))
                        .idempotencyKey());
        assertNull(storedBudget(policy.decide(resizing, report(2, NOON_MILLIS, 0), 2, 0, WALL_MILLIS, "l"))
                .pendingResize());
    }

    @Test
    void nothingIsAddedPastTheNearCapAndItIsRecordedOnceAMonth() {
        ScaleOutPolicy policy = new ScaleOutPolicy(ScaleOutSimulation.SETTINGS);
        Budget budget = new Budget("2026-12", null, "");
        // Each costs 100 cents for its first minute and 950 cents may be spent: nine are affordable, the tenth is not.
        ProviderReport empty = report(0, NOON_MILLIS, 0);
        Budget nearCap = storedBudget(policy.decide(budget, empty, 20, 0, WALL_MILLIS, "k"));
        assertEquals("2026-12", nearCap.nearCapMonth());
        Budget resizing = storedBudget(policy.decide(nearCap, empty, 20, 0, WALL_MILLIS, "k"));
        assertEquals(9, resizing.pendingResize().size());
        InstanceCharge[] charges = new InstanceCharge[9];
        Arrays.setAll(
                charges,
                i -> new InstanceCharge(
                        "x" + i,
                        "std",
                        "a",
                        NOON_MILLIS,
                        0,
                        ScaleOutSimulation.CENTS_PER_HOUR,
                        ScaleOutSimulation.MIN_BILLED_MILLIS));
        assertEquals(NO_ACTION, policy.decide(nearCap, report(9, NOON_MILLIS, 0, charges), 20, 0, WALL_MILLIS, "k"));
        assertEquals(NO_ACTION, policy.decide(nearCap, report(9, NOON_MILLIS, 0, charges), -1, 0, WALL_MILLIS, "k"));
    }

    @Test
    void aMonthNeverRepeatsAndOpensOnlyItsOwnBudget() {
        ScaleOutPolicy policy = new ScaleOutPolicy(ScaleOutSimulation.SETTINGS);
        long nextMonthMillis = Instant.parse("2027-01-01T00:00:01Z").toEpochMilli();
        Budget january = storedBudget(policy.decide(
                new Budget("2026-12", null, "2026-12"), report(0, nextMonthMillis, 0), 1, 0, WALL_MILLIS, "k"));
        assertEquals("2027-01", january.month());
        assertEquals(
                NO_ACTION,
                policy.decide(january, report(0, NOON_MILLIS, 0), 1, 0, WALL_MILLIS, "k"),
                "the provider's clock was set back");
        assertNotNull(storedBudget(policy.decide(january, report(0, nextMonthMillis, 0), 1, 0, WALL_MILLIS, "k"))
                .pendingResize());
        ScaleOutDecision providerAhead =
                policy.decide(new Budget("2026-12", null, ""), report(0, nextMonthMillis, 0), 1, 0, NOON_MILLIS, "k");
        assertEquals(NO_ACTION, providerAhead, "the provider's clock alone does not open a month");
    }

    @Test
    void allEndpointsAreReleasedAtTheCapIfConfigured() {
        ScaleOutPolicy.ScaleOutSettings releasing = new ScaleOutPolicy.ScaleOutSettings(
                ScaleOutSimulation.SETTINGS.cap(),
                ScaleOutSimulation.CENTS_PER_HOUR,
                ScaleOutSimulation.MIN_BILLED_MILLIS,
                10_000,
                true);
        InstanceCharge charge = new InstanceCharge(
                "x",
                "std",
                "a",
                NOON_MILLIS - HOUR_MILLIS,
                0,
                ScaleOutSimulation.CENTS_PER_HOUR,
                ScaleOutSimulation.MIN_BILLED_MILLIS);
        Budget budget = new Budget("2026-12", null, "2026-12");
        assertEquals(
                0,
                storedBudget(new ScaleOutPolicy(releasing)
                                .decide(budget, report(1, NOON_MILLIS, 0, charge), 1, 0, WALL_MILLIS, "k"))
                        .pendingResize()
                        .size());
        assertEquals(
                NO_ACTION,
                new ScaleOutPolicy(ScaleOutSimulation.SETTINGS)
                        .decide(budget, report(1, NOON_MILLIS, 0, charge), 1, 0, WALL_MILLIS, "k"));
    }

    private static final int WALKS = Integer.getInteger("search.walks", 1500);
    private static final int STEPS_PER_WALK = 300;

    @Test
    void nothingIsAddedPastTheNearCapUnderFaultsAndAllSettlesAfterwards() {
        int resizeRequests = 0;
        int staleRequests = 0;
        for (int walk = 0; walk < WALKS; walk++) {
            ScaleOutSimulation simulation = new ScaleOutSimulation(walk, ScaleOutSimulation.Bug.NONE);
            for (int i = 0; i < STEPS_PER_WALK; i++) {
                simulation.step();
            }
            assertEquals(List.of(), simulation.provider.violations(), "walk " + walk);
            simulation.runWithoutFaults();
            assertEquals(List.of(), simulation.provider.violations(), "walk " + walk);
            assertTrue(simulation.isSettled(), "walk " + walk);
            resizeRequests += simulation.resizeRequests;
            staleRequests += simulation.provider.counts().get("stale_acts_tried");
        }
        System.out.println(
                "growth_walks=" + WALKS + " puts=" + resizeRequests + " stale_acts_refused=" + staleRequests);
        assertTrue(staleRequests > 0 && resizeRequests > WALKS);
    }

    /** Shows that the random walks above are able to find faults: each seeded bug must be detected. */
    @ParameterizedTest
    @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aSeededBugIsFound(ScaleOutSimulation.Bug bug) {
        for (int walk = 0; walk < 20 * WALKS; walk++) {
            ScaleOutSimulation simulation = new ScaleOutSimulation(walk, bug);
            for (int i = 0; i < STEPS_PER_WALK; i++) {
                simulation.step();
                if (!simulation.provider.violations().isEmpty()) {
                    return;
                }
            }
        }
        throw new AssertionError(bug + " was not found");
    }
}
