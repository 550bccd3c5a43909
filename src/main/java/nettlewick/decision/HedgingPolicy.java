package nettlewick.decision;

import java.util.function.Predicate;

/** Limits hedged requests for attempts that are only suspected to be lost, by a budget that lost attempts add to. */
final class HedgingPolicy {
    private static final int HEDGES_PER_LOSS = 2;
    private static final int MAX_HEDGE_BUDGET = 6;

    private final Predicate<ScheduledRequest> canMeetObjective;
    private int budget;

    /** Creates a policy that hedges only requests for which an attempt that starts now can meet the objective. */
    HedgingPolicy(Predicate<ScheduledRequest> canMeetObjective) {
        this.canMeetObjective = canMeetObjective;
    }

    /** Adds to the budget for a lost attempt that was not yet marked as lost. */
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
