package nettlewick.decision;

import java.util.ArrayList;
import java.util.List;

/** Collects the actions that result from one batch of events. */
final class ActionBatch {
    private List<Action> actions = new ArrayList<>();

    /** Starts an empty batch. */
    void begin() {
        actions = new ArrayList<>();
    }

    void add(Action action) {
        actions.add(action);
    }

    /** The actions of the batch, in the order in which they were added. */
    List<Action> actions() {
        return actions;
    }
}
