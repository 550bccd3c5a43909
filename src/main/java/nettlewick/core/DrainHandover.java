package nettlewick.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Carries out the {@link DrainPolicy}: hands requests to the decision module, holds back or rejects those that would
 * outlive this process, and ends what is in flight before the kill. Core thread.
 */
final class DrainHandover {
    private final CoreLoop loop;
    private final InFlightTable table;
    private final FinalAnswers answers;
    private final RetryAdvice retryAdvice;
    private final DrainPolicy policy = new DrainPolicy();
    private final List<InFlightRequest> held = new ArrayList<>();

    DrainHandover(CoreLoop loop, InFlightTable table, FinalAnswers answers, RetryAdvice retryAdvice) {
        this.loop = loop;
        this.table = table;
        this.answers = answers;
        this.retryAdvice = retryAdvice;
    }

    /** Hands an accepted request to the module now, holds it back, or rejects it. */
    void admit(InFlightRequest inFlight) {
        Request request = inFlight.request();
        switch (policy.decide(request.requestClass(), request.costHintMillis(), loop.nowMillis())) {
            case ADMIT -> handToModule(inFlight);
            case REJECT -> rejectUnsent(inFlight);
            case HOLD -> {
                held.add(inFlight);
                loop.schedule(policy.holdUntilMillis(), this::releaseHeld);
            }
        }
    }

    private void handToModule(InFlightRequest inFlight) {
        loop.addEvent(ModuleEvents.arrival(inFlight.request(), loop.nowMillis()));
    }

    /** A successor takes the retry at once; without one the next process takes a while to start. */
    private void rejectUnsent(InFlightRequest inFlight) {
        answers.reject(
                inFlight, policy.isAdmissionStopped() ? retryAdvice.afterRestart() : retryAdvice.atOtherDispatcher());
    }

    private void releaseHeld() {
        held.stream().filter(r -> !r.isAnswered()).forEach(this::handToModule);
        held.clear();
    }

    /** A successor starts: draining and the kill are expected at these times. */
    void expectSuccessor(double drainAtMillis, double killAtMillis) {
        policy.expectDraining(drainAtMillis, killAtMillis);
    }

    /** There is no successor after all. */
    void cancelExpectedDraining() {
        policy.cancelExpectedDraining();
        releaseHeld();
    }

    /** Draining starts: what is held back is rejected. */
    void startDraining(double killAtMillis) {
        policy.startDraining(killAtMillis);
        List.copyOf(held).forEach(this::rejectUnsent);
        held.clear();
    }

    /** Ends all requests: rejects them where a retry is harmless, else fails them. Later ones are rejected. */
    void endAllRequests() {
        policy.stopAdmitting();
        for (InFlightRequest inFlight : table.unanswered()) {
            answers.withdraw(inFlight, retryAdvice.afterRestart(), "this dispatcher ends");
        }
    }

    /** Whether a request ends in time only if draining waits; the kill comes {@code killDelayMillis} after it. */
    boolean isDelayingDrainUseful(double killDelayMillis) {
        double now = loop.nowMillis();
        return table.unanswered().stream()
                .filter(r -> !held.contains(r))
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

    /** Learns from an attempt that was served how long requests of its class run. */
    void learnRunTime(Attempt served) {
        Request request = served.request();
        double ranMillis = served.runMillis(loop.nowMillis());
        policy.recordRunTime(request.requestClass(), request.costHintMillis(), ranMillis);
    }
}
