package nettlewick.decision;

/** Intervals shared by the components of the decision module, in nanoseconds. */
final class SchedulerTimings {
    /** The interval of fair shares and transfers, and the age up to which a load report is used. */
    static final long SHARE_INTERVAL_NANOS = 1_000_000_000;

    /** The period of the tick that checks deadlines, health, probes and pending transfers. */
    static final long TICK_NANOS = SHARE_INTERVAL_NANOS / 10;

    private SchedulerTimings() {}
}
