package nettlewick.waiting;

import nettlewick.decision.SchedulerSettings.Idempotency;

/** What becomes of a job that was accepted by a process that has died. Does no I/O and reads no clock. */
public final class Afterlife {
    /** How far it had come by what is recorded. */
    public enum State {
        WAITING,
        RELEASED,
        ENDED
    }

    /** What is done with it. */
    public enum What {
        WAIT,
        RELEASE,
        FAIL,
        NOTHING
    }

    /** {@code why} is for the client, where it fails; else null. */
    public record Verdict(What what, String why) {}

    private Afterlife() {}

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
    public static Verdict decide(
            State state,
            Idempotency repeat,
            double since,
            double window,
            boolean site,
            int attempts,
            int most,
            double left) {
        if (state == State.ENDED) {
            return new Verdict(What.NOTHING, null);
        }
        if (state == State.WAITING) {
            // What waits is looked at by the plan, which knows what it asked for where its time is over.
            return new Verdict(What.WAIT, null);
        }
        if (repeat == Idempotency.NON_IDEMPOTENT) {
            return fail("it may have run, and is never run again");
        }
        if (left <= 0) {
            return fail("its time was over before this dispatcher was back");
        }
        if (attempts >= most) {
            return fail("it has had its " + most + " attempts");
        }
        if (repeat == Idempotency.KEYED && !site) {
            return fail("it may have run, and where is not known");
        }
        if (repeat == Idempotency.KEYED && !(since >= 0 && since < window)) {
            // A clock that went back says nothing about how long ago it was.
            return fail("it may have run, and its key is no longer remembered");
        }
        return new Verdict(What.RELEASE, null);
    }

    private static Verdict fail(String why) {
        return new Verdict(What.FAIL, why);
    }
}
