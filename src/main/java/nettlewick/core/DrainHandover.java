package nettlewick.core;

import java.util.List;

/**
 * Applies the {@link DrainPolicy}: passes requests to the decision module, holds or rejects those that would outlive
 * this process, and ends the requests in flight before the process is killed. Core thread only.
 */
final class DrainHandover {
    private final CoreLoop loop;
    private final InFlightTable table;
    private final FinalAnswers answers;
    private final RetryAdvice retryAdvice;
    private final DrainPolicy policy = new DrainPolicy();

    DrainHandover(CoreLoop loop, InFlightTable table, FinalAnswers answers, RetryAdvice retryAdvice) {
        this.loop = loop;
        this.table = table;
        this.answers = answers;
        this.retryAdvice = retryAdvice;
    }

    /** Passes an accepted request to the module, holds it, or rejects it. */
    void admit(InFlightRequest inFlight) {
        Request request = inFlight.request();
        switch (policy.decide(request.requestClass(), request.costHintMillis(), loop.nowMillis())) {
            case ADMIT -> handToModule(inFlight);
            case REJECT -> rejectUnsent(inFlight);
            case HOLD -> {
                inFlight.setHeld(true);
                loop.schedule(policy.holdUntilMillis(), this::releaseHeld);
            }
        }
    }

    private void handToModule(InFlightRequest inFlight) {
        loop.addEvent(ModuleEvents.arrival(inFlight.request(), loop.nowMillis()));
    }

    /** A successor can take the retry immediately; after {@link #endAllRequests}, a new process must start first. */
    private void rejectUnsent(InFlightRequest inFlight) {
        answers.reject(
                inFlight, policy.isAdmissionStopped() ? retryAdvice.afterRestart() : retryAdvice.atOtherDispatcher());
    }

    private void releaseHeld() {
        takeHeld().forEach(this::handToModule);
    }

    /** Ends the hold of all held requests and returns them in the order of their arrival. */
    private List<InFlightRequest> takeHeld() {
        List<InFlightRequest> held =
                table.unanswered().stream().filter(InFlightRequest::isHeld).toList();
        held.forEach(r -> r.setHeld(false));
        return held;
    }

    /** Sets when draining and the kill are expected, because a successor process is starting. */
    void expectSuccessor(double drainAtMillis, double killAtMillis) {
        policy.expectDraining(drainAtMillis, killAtMillis);
    }

    /** Releases the held requests, because no successor is taking over. */
    void cancelExpectedDraining() {
        policy.cancelExpectedDraining();
        releaseHeld();
    }

    /** Starts draining and rejects the held requests. */
    void startDraining(double killAtMillis) {
        policy.startDraining(killAtMillis);
        takeHeld().forEach(this::rejectUnsent);
    }

    /** Ends all requests: rejects them if a retry is safe, otherwise fails them. Later requests are rejected. */
    void endAllRequests() {
        policy.stopAdmitting();
        for (InFlightRequest inFlight : table.unanswered()) {
            answers.withdraw(inFlight, retryAdvice.afterRestart(), "this dispatcher ends");
        }
    }

    /** Whether some request ends in time only if draining, which precedes the kill by that delay, is postponed. */
    boolean isDelayingDrainUseful(double killDelayMillis) {
        double now = loop.nowMillis();
        return table.unanswered().stream()
                .filter(r -> !r.isHeld())
                .anyMatch(r -> policy.isSavedByDelayingDrain(remainingMillis(r), now, killDelayMillis));
    }

    private double remainingMillis(InFlightRequest inFlight) {
        Request request = inFlight.request();
        double expectedMillis = policy.expectedRunMillis(request.requestClass(), request.costHintMillis());
        return inFlight.attempts().stream()
                .filter(a -> !a.isEnded())
                .mapToDouble(a -> a.remainingMillis(loop.nowMillis(), expectedMillis))
                .min()
                .orElse(expectedMillis);
    }

    /** Updates the run time estimate of the request class from an attempt that was served. */
    void learnRunTime(Attempt served) {
        Request request = served.request();
        double ranMillis = served.runMillis(loop.nowMillis());
        policy.recordRunTime(request.requestClass(), request.costHintMillis(), ranMillis);
    }
}
