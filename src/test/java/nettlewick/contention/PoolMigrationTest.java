package nettlewick.contention;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import nettlewick.contention.ContentionEvidence.Finding;
import nettlewick.contention.MigrationState.Step;
import nettlewick.contention.PoolMigration.OperatorPolicy;
import nettlewick.contention.PoolReservation.ReadyEndpoint;
import org.junit.jupiter.api.Test;

/** The steps of a migration, and the selection of endpoints for a pool. */
class PoolMigrationTest {
    private static final PoolMigration.MigrationSettings SETTINGS =
            new PoolMigration.MigrationSettings(0.25, 0.5, 1000, 5000, 2000, 10_000);
    private static final Finding CONTENDING = new Finding(true, true, 0.8);
    private static final Finding UNCONTENDED = new Finding(false, false, 0.1);

    private final Map<String, ReadyEndpoint> ready = new HashMap<>();
    private PoolMigration migration = new PoolMigration("red");
    private MigrationState state = MigrationState.NOT_MIGRATED;
    private double nowMillis;

    private static Map<String, ReadyEndpoint> endpoints(int size) {
        Map<String, ReadyEndpoint> endpoints = new HashMap<>();
        for (int i = 0; i < size; i++) {
            endpoints.put("s" + i, new ReadyEndpoint("s" + i, i % 4 == 0 ? "b" : "a", "std", null));
        }
        return endpoints;
    }

    /** Advances the time, recording the finding every half second; returns the steps that were entered. */
    private List<Step> run(double millis, Finding finding, boolean scaleOutComplete) {
        List<Step> steps = new ArrayList<>();
        for (double end = nowMillis + millis; nowMillis < end; nowMillis += 500) {
            migration.recordFinding(finding, nowMillis);
            MigrationState next = migration.nextState(
                    state,
                    OperatorPolicy.AUTOMATIC,
                    SETTINGS,
                    new PoolMigration.FleetView(ready, Set.of(), scaleOutComplete),
                    nowMillis);
            if (next.step() != state.step()) {
                steps.add(next.step());
            }
            state = next;
        }
        return steps;
    }

    @Test
    void aContendingTenantIsMigratedStepByStepAndReturns() {
        ready.putAll(endpoints(8));
        assertEquals(List.of(), run(5000, UNCONTENDED, true));
        assertEquals(List.of(Step.RESERVING, Step.DRAINING, Step.DEDICATED), run(5000, CONTENDING, true));
        assertEquals(2, state.endpoints().size(), "a quarter of eight endpoints");
        assertEquals(List.of(), run(60_000, CONTENDING, true));
        assertEquals(List.of(Step.RETURNING, Step.SHARED), run(14_000, UNCONTENDED, true));
        assertEquals(List.of(), state.endpoints());
        assertEquals(1, state.recentReturns());
    }

    @Test
    void eachReturnDoublesTheNextMinimumStay() {
        ready.putAll(endpoints(8));
        for (int stay = 10_000; stay <= 80_000; stay *= 2) {
            run(6000, CONTENDING, true);
            assertEquals(Step.DEDICATED, state.step());
            assertEquals(List.of(), run(stay - 3000, UNCONTENDED, true), "minimum stay " + stay);
            assertEquals(List.of(Step.RETURNING, Step.SHARED), run(8000, UNCONTENDED, true));
        }
    }

    @Test
    void migrationWaitsForAddedEndpointsUntilATimeout() {
        ready.putAll(endpoints(8));
        assertEquals(List.of(Step.RESERVING), run(4000, CONTENDING, false));
        assertEquals(List.of(Step.DRAINING, Step.DEDICATED), run(6000, CONTENDING, false));
    }

    @Test
    void aNewLeaseHolderContinuesFromTheStoredStep() {
        ready.putAll(endpoints(8));
        run(2000, CONTENDING, true);
        Step stored = state.step();
        assertEquals(Step.DRAINING, stored);
        migration = new PoolMigration("red");
        assertEquals(List.of(Step.DEDICATED), run(4000, UNCONTENDED, true));
    }

    @Test
    void aLostEndpointIsReplacedAndAnEmptyListKeepsThePool() {
        ready.putAll(endpoints(8));
        run(6000, CONTENDING, true);
        List<String> before = state.endpoints();
        ready.remove(before.get(0));
        run(500, CONTENDING, true);
        assertEquals(2, state.endpoints().size());
        assertTrue(
                state.endpoints().contains(before.get(1)) && !state.endpoints().contains(before.get(0)));
        ready.clear();
        MigrationState previous = state;
        migration.recordFinding(CONTENDING, nowMillis);
        MigrationState next = migration.nextState(
                state,
                OperatorPolicy.AUTOMATIC,
                SETTINGS,
                new PoolMigration.FleetView(ready, Set.of(), true),
                nowMillis);
        assertEquals(previous.endpoints(), next.endpoints());
    }

    @Test
    void operatorsCanForceOrForbidDedicatedEndpoints() {
        ready.putAll(endpoints(8));
        PoolMigration.FleetView fleetView = new PoolMigration.FleetView(ready, Set.of(), true);
        migration.recordFinding(CONTENDING, 0);
        assertSame(
                MigrationState.NOT_MIGRATED,
                migration.nextState(MigrationState.NOT_MIGRATED, OperatorPolicy.ALWAYS_SHARED, SETTINGS, fleetView, 0));
        migration.recordFinding(UNCONTENDED, 0);
        assertEquals(
                Step.RESERVING,
                migration
                        .nextState(MigrationState.NOT_MIGRATED, OperatorPolicy.ALWAYS_DEDICATED, SETTINGS, fleetView, 0)
                        .step());
        MigrationState dedicated = new MigrationState(Step.DEDICATED, List.of("s1", "s2"), 0);
        assertEquals(
                Step.RETURNING,
                migration
                        .nextState(dedicated, OperatorPolicy.ALWAYS_SHARED, SETTINGS, fleetView, 0)
                        .step());
    }

    @Property(tries = 300)
    void poolsRespectQuotaZonesAndMaximumFraction(
            @ForAll @IntRange(min = 1, max = 60) int size,
            @ForAll @IntRange(min = 1, max = 90) int percent,
            @ForAll @IntRange(min = 0, max = 20) int reservedCount) {
        Map<String, ReadyEndpoint> endpoints = endpoints(size);
        endpoints.put("x", new ReadyEndpoint("x", "a", "std", "red"));
        endpoints.put("y", new ReadyEndpoint("y", "a", "std", "blue"));
        Set<String> reservedByOthers = new HashSet<>();
        for (int i = 0; i < Math.min(reservedCount, size); i++) {
            reservedByOthers.add("s" + i);
        }
        List<String> pool =
                PoolReservation.selectEndpoints("red", endpoints, List.of(), reservedByOthers, percent / 100.0, 0.5);
        assertTrue(pool.contains("x") && !pool.contains("y"));
        assertTrue(pool.stream().noneMatch(reservedByOthers::contains));
        int shared = pool.size() - 1;
        assertTrue(
                shared + reservedByOthers.size() <= size / 2 || shared == 0,
                shared + " shared endpoints, " + reservedByOthers.size() + " reserved by others");
        assertTrue(shared <= Math.max(1, Math.round(percent / 100.0 * size)));
        if (reservedByOthers.isEmpty() && shared > 0) {
            long inZoneB = pool.stream()
                    .filter(name -> endpoints.get(name).zone().equals("b"))
                    .count();
            long allInZoneB = endpoints.values().stream()
                    .filter(endpoint -> endpoint.zone().equals("b"))
                    .count();
            assertTrue(
                    Math.abs(inZoneB - shared * allInZoneB / (double) size) < 1,
                    inZoneB + " of " + shared + " in zone b");
        }
        List<String> reselected =
                PoolReservation.selectEndpoints("red", endpoints, pool, reservedByOthers, percent / 100.0, 0.5);
        assertEquals(new HashSet<>(pool), new HashSet<>(reselected), "a second selection keeps the pool");
    }
}
