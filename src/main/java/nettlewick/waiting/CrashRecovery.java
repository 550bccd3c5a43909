package nettlewick.waiting;

import nettlewick.decision.SchedulerSettings.Idempotency;

/** Decides how to treat a job after a crash of the process that accepted it. Does no I/O and reads no clock. */
public final class CrashRecovery {
    /** The last recorded state of a job. */
    public enum State {
        WAITING,
        RELEASED,
        ENDED
    }

    /** What is done with a job. */
    public enum Action {
        WAIT,
        RELEASE,
        FAIL,
        NOTHING
    }

    /** The action, and for a failure its cause, which is sent to the client; else null. */
    public record Decision(Action action, String cause) {}

    private CrashRecovery() {}

    /**
     * Decides on a job. A release is recorded before the job is forwarded, so a job with a recorded release may have
     * been executed, and one without cannot have been.
     *
     * @param millisSinceRelease time since the release was recorded
     * @param dedupWindowMillis  how long the endpoints of a zone drop a repeat of an idempotency key
     * @param zoneKnown          whether the zone of the first attempt is known: a retry has to stay in that zone
     * @param attempts           the attempts made so far
     * @param remainingMillis    the time until the job's own deadline
     */
    public static Decision decide(
            State state,
            Idempotency idempotency,
            double millisSinceRelease,
            double dedupWindowMillis,
            boolean zoneKnown,
            int attempts,
            int maxAttempts,
            double remainingMillis) {
        if (state == State.ENDED) {
            return new Decision(Action.NOTHING, null);
        }
        if (state == State.WAITING) {
            // The dependency tracker applies the policy of a waiting job whose wait time is over.
            return new Decision(Action.WAIT, null);
        }
        if (idempotency == Idempotency.NON_IDEMPOTENT) {
            return fail("it may have run, and is never run again");
        }
        if (remainingMillis <= 0) {
            return fail("its time was over before this dispatcher was back");
        }
        if (attempts >= maxAttempts) {
            return fail("it has had its " + maxAttempts + " attempts");
        }
        if (idempotency == Idempotency.KEYED && !zoneKnown) {
            return fail("it may have run, and where is not known");
        }
        if (idempotency == Idempotency.KEYED && !(millisSinceRelease >= 0 && millisSinceRelease < dedupWindowMillis)) {
            // A negative time means that the clock was set back: the age of the release is unknown.
            return fail("it may have run, and its key is no longer remembered");
        }
        return new Decision(Action.RELEASE, null);
    }

    private static Decision fail(String cause) {
        return new Decision(Action.FAIL, cause);
    }
}
