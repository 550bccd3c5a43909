package nettlewick.lease;

/**
 * A step of {@link LeaseModel}.
 *
 * @param index of a message in the network, of a candidate or of a voter, as the action needs it
 */
record LeaseModelStep(Action action, int index) {
    /** The kinds of steps. LOOK and ACT are the two halves of an act, with a pause of any length between. */
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
