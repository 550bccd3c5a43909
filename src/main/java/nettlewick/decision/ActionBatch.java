package nettlewick.decision;

import java.util.ArrayList;
import java.util.List;

/** Gathers the actions decided on while one batch of events is handled. */
final class ActionBatch {
    private List<Action> actions = new ArrayList<>();

    /** Begins the next batch, without the actions of the last one. */
    void begin() {
        actions = new ArrayList<>();
    }

    void add(Action action) {
        actions.add(action);
    }

    /** The actions of the batch, in the order of their decision. */
    List<Action> actions() {
        return actions;
    }
}
