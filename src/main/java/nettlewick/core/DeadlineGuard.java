package nettlewick.core;

/** Ends each request that the decision module has not answered by its deadline. Core thread. */
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
        loop.schedule(inFlight.request().deadlineMillis() + GRACE_MILLIS, () -> check(inFlight, true));
    }

    /**
     * After a pause of the thread the outcome of an attempt that timed out may be pending in this iteration too, and
     * the module may still reject what would be failed here. So the module goes first, but only once: under a flood
     * there are pending events in every iteration.
     */
    private void check(InFlightRequest inFlight, boolean mayPostpone) {
        if (inFlight.isAnswered()) {
            return;
        }
        if (mayPostpone && loop.hasPendingEvents()) {
            loop.schedule(loop.nowMillis(), () -> check(inFlight, false));
            return;
        }
        CoreLoop.LOG.warning(
                "left-open",
                "request " + inFlight.id() + " was still in flight at its deadline",
                "request",
                inFlight.id(),
                "member",
                inFlight.request().tenant());
        answers.withdraw(inFlight, retryAdvice.atOtherDispatcher(), "no answer in time");
    }
}
