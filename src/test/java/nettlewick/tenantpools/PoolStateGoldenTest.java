package nettlewick.tenantpools;

import static nettlewick.golden.GoldenFile.assertMatches;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import nettlewick.contention.MigrationState;
import org.junit.jupiter.api.Test;

/**
 * The JSON of a tenant's pool in the state of a lease: dispatchers of other builds read it, and voters have it stored.
 */
class PoolStateGoldenTest {
    @Test
    void eachStepHasTheRecordedJson() {
        StringBuilder text = new StringBuilder();
        for (MigrationState.Step step : MigrationState.Step.values()) {
            PoolState.ResizeRequest pendingResize =
                    step.ordinal() % 2 == 0 ? null : new PoolState.ResizeRequest("key-7", 3, 1250);
            PoolState state = new PoolState(
                    4,
                    new MigrationState(step, List.of("s1", "x0"), 2),
                    List.of("x0"),
                    new PoolState.Budget(
                            "2026-12", pendingResize, step == MigrationState.Step.DEDICATED ? "2026-12" : ""));
            text.append(new String(state.encode(), StandardCharsets.UTF_8)).append('\n');
            assertEquals(state, PoolState.decode(state.encode()));
        }
        text.append(new String(PoolState.INITIAL.encode(), StandardCharsets.UTF_8))
                .append('\n');
        assertMatches("lease/pool-states.txt", text.toString());
    }
}
