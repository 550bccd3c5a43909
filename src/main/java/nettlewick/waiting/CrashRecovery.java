package nettlewick.waiting;

import nettlewick.decision.SchedulerSettings.Idempotency;

/** What becomes of a job that was accepted by a process that has died. Does no I/O and reads no clock. */
public final class CrashRecovery {
    /** How far it had come by what is recorded. */
    public enum State {
        WAITING,
        RELEASED,
        ENDED
    }

    /** What is done with it. */
    public enum Action {
        WAIT,
        RELEASE,
        FAIL,
        NOTHING
    }

    /** {@code why} is for the client, where it fails; else null. */
    public record Decision(Action action, String cause) {}

    private CrashRecovery() {}

    /**
     * Decides. A release is recorded before the job is handed in, so one that is recorded may have run, and
     * one that
     * is not cannot have.
     *
     * @param since    milliseconds since the release was recorded
     * @param window   how long sim runners of a site drop a repeat of its key
     * @param site     whether it is known where it went first: a repeat keeps to that site
     * @param attempts how many it has had, and {@code most} how many there may be
     * @param left     milliseconds of its own time that are left
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
            // What waits is looked at by the plan, which knows what it asked for where its time is over.
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
            // A clock that went back says nothing about how long ago it was.
            return fail("it may have run, and its key is no longer remembered");
        }
        return new Decision(Action.RELEASE, null);
    }

    private static Decision fail(String cause) {
        return new Decision(Action.FAIL, cause);
    }
}
