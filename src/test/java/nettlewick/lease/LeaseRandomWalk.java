package nettlewick.lease;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import nettlewick.lease.LeaseModelStep.Action;

/** Random steps through a {@link LeaseModel}, weighted so that leases are held, lost and held again. */
final class LeaseRandomWalk {
    /** How many of the oldest messages in flight most deliveries are chosen from. */
    private static final int LIKELY_MESSAGES = 3;

    private final LeaseModel model;
    private final SplittableRandom random;
    private int remainingTimeSteps;

    LeaseRandomWalk(LeaseModel model, SplittableRandom random) {
        this.model = model;
        this.random = random;
        int losses = random.nextInt(6);
        int duplicates = random.nextInt(4);
        int crashes = model.bug() == SeededBug.VOTER_WITHOUT_RECORDS_VOTES ? 2 : random.nextInt(2);
        model.allowFaults(losses, duplicates, crashes).allowHolderSteps(3, random.nextInt(3));
    }

    LeaseModel model() {
        return model;
    }

    /** Applies steps until one violates an invariant; returns its description, or null. */
    String run(int steps) {
        for (int i = 0; i < steps; i++) {
            String violation = model.apply(pickStep());
            if (violation != null) {
                return violation;
            }
        }
        return null;
    }

    /** Picks mostly deliveries, and runs of time steps that are long enough for leases to expire. */
    private LeaseModelStep pickStep() {
        int roll = random.nextInt(100);
        int messages = model.messagesInFlight();
        if (roll < 60 && messages > 0) {
            return new LeaseModelStep(
                    Action.DELIVER, random.nextInt(roll < 40 ? Math.min(LIKELY_MESSAGES, messages) : messages));
        }
        if (remainingTimeSteps > 0 || roll < 64) {
            remainingTimeSteps = remainingTimeSteps > 0 ? remainingTimeSteps - 1 : random.nextInt(7);
            return LeaseModelStep.PASS_TIME;
        }
        int candidate = roll % 2;
        if (roll < 76) {
            return new LeaseModelStep(Action.TICK, candidate);
        }
        if (roll > 96 && model.mayRelease()) {
            return new LeaseModelStep(model.isHolding(candidate) ? Action.RELEASE : Action.TICK, candidate);
        }
        return pickChoice(roll < 90);
    }

    private LeaseModelStep pickChoice(boolean prefersHolder) {
        List<LeaseModelStep> choices = model.choices();
        // A candidate that has observed its fence mostly pauses for a while before it acts.
        Set<Action> holderActions = random.nextInt(8) == 0
                ? EnumSet.of(Action.OBSERVE_FENCE, Action.ACT, Action.CHANGE)
                : EnumSet.of(Action.OBSERVE_FENCE, Action.CHANGE);
        List<LeaseModelStep> holderSteps = choices.stream()
                .filter(step -> holderActions.contains(step.action()))
                .toList();
        List<LeaseModelStep> eligibleSteps = prefersHolder && !holderSteps.isEmpty() ? holderSteps : choices;
        return eligibleSteps.get(random.nextInt(eligibleSteps.size()));
    }
}
