package nettlewick.decision;

/** Intervals that the parts of the decision module have in common, in nanoseconds. */
final class SchedulerTimings {
    /** The interval of fair shares and transfers, and the age to which a load report is believed. */
    static final long SHARE_INTERVAL_NANOS = 1_000_000_000;

    /** The period of the tick that looks at deadlines, health, probes and pending transfers. */
    static final long TICK_NANOS = SHARE_INTERVAL_NANOS / 10;

    private SchedulerTimings() {}
}
