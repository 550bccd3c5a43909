package nettlewick.lease;

/**
 * A step of {@link LeaseModel}.
 *
 * @param index the index of a message in the network, a candidate or a voter, depending on the action
 */
record LeaseModelStep(Action action, int index) {
    /** The kinds of steps. OBSERVE_FENCE and ACT are the two halves of an operation, with any pause between them. */
    enum Action {
        DELIVER,
        DROP,
        DUPLICATE,
        TICK,
        OBSERVE_FENCE,
        ACT,
        CHANGE,
        RELEASE,
        CRASH,
        PASS_TIME
    }

    static final LeaseModelStep PASS_TIME = new LeaseModelStep(Action.PASS_TIME, 0);
}
