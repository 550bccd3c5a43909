package nettlewick.contention;

import java.util.List;

/**
 * How far a member has been moved: part of its duty's state.
 *
 * @param runners those reserved from the common ones, and those added, by name
 * @param returns how often it has come back lately: each doubles its next stay
 */
public record MigrationState(Step step, List<String> runners, int returns) {
    /** Where others' and the member's jobs may go; see docs/pools.md. */
    public enum Step {
        NONE,
        RESERVE,
        CLEAR,
        OPEN,
        CLOSE;

        /** Whether others keep away from the pool. */
        public boolean shut() {
            return this == CLEAR || this == OPEN || this == CLOSE;
        }
    }

    public static final MigrationState NOWHERE = new MigrationState(Step.NONE, List.of(), 0);

    public MigrationState {
        runners = List.copyOf(runners);
    }

    MigrationState to(Step next) {
        return new MigrationState(next, runners, returns);
    }

    MigrationState with(List<String> others) {
        return new MigrationState(step, others, returns);
    }
}
