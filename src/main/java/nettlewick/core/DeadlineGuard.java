package nettlewick.core;

/** Ends requests that the decision module has not answered by their deadline. Core thread only. */
final class DeadlineGuard {
    private static final double GRACE_MILLIS = 10;

    private final CoreLoop loop;
    private final FinalAnswers answers;
    private final RetryAdvice retryAdvice;

    DeadlineGuard(CoreLoop loop, FinalAnswers answers, RetryAdvice retryAdvice) {
        this.loop = loop;
        this.answers = answers;
        this.retryAdvice = retryAdvice;
    }

    void watch(InFlightRequest inFlight) {
        double dueAt = inFlight.request().deadlineMillis() + GRACE_MILLIS;
        inFlight.setDeadlineTimer(loop.schedule(dueAt, () -> check(inFlight, true)));
    }

    /**
     * After a pause of the core thread, the outcome of a timed-out attempt may be pending in the same iteration, and
     * the module may still reject a request that would be failed here. The check is therefore postponed until the
     * module has handled pending events, but only once: under high load, every iteration has pending events.
     */
    private void check(InFlightRequest inFlight, boolean mayPostpone) {
        if (inFlight.isAnswered()) {
            return;
        }
        if (mayPostpone && loop.hasPendingEvents()) {
            inFlight.setDeadlineTimer(loop.schedule(loop.nowMillis(), () -> check(inFlight, false)));
            return;
        }
        CoreLoop.LOG.warning(
                "left-open",
                "request " + inFlight.id() + " had no final answer at its deadline",
                "request",
                inFlight.id(),
                "member",
                inFlight.request().tenant());
        answers.withdraw(inFlight, retryAdvice.atOtherDispatcher(), "no answer in time");
    }
}
