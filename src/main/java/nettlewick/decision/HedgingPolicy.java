package nettlewick.decision;

import java.util.function.Predicate;

/** When a hedged request may be sent on suspicion alone: within a budget earned by attempts that were lost. */
final class HedgingPolicy {
    private static final int HEDGES_PER_LOSS = 2;
    private static final int MAX_HEDGE_BUDGET = 6;

    private final Predicate<ScheduledRequest> canMeetObjective;
    private int budget;

    /** A policy that hedges only requests which an attempt that starts now can still answer in time. */
    HedgingPolicy(Predicate<ScheduledRequest> canMeetObjective) {
        this.canMeetObjective = canMeetObjective;
    }

    /** Counts an attempt that was found lost, once. */
    void recordLost(Attempt attempt) {
        budget = Math.min(budget + (attempt.isLost() ? 0 : HEDGES_PER_LOSS), MAX_HEDGE_BUDGET);
    }

    boolean mayHedge(ScheduledRequest request) {
        return canMeetObjective.test(request) && budget >= 1;
    }

    void recordHedge() {
        budget--;
    }
}
