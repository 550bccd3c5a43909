package nettlewick.core;

import nettlewick.core.UsageRecorder.Ending;
import nettlewick.decision.Event.Abandoned;

/** Gives each request its one final answer; for a request that has one already, all methods do nothing. Core thread. */
final class FinalAnswers {
    private final CoreLoop loop;
    private final InFlightTable table;
    private final UsageAccounting accounting;
    private final RequestListener listener;

    FinalAnswers(CoreLoop loop, InFlightTable table, UsageAccounting accounting, RequestListener listener) {
        this.loop = loop;
        this.table = table;
        this.accounting = accounting;
        this.listener = listener;
    }

    /** Rejects a request that was not accepted; {@code retryAfterMillis} 0 is no advice. */
    void rejectUnaccepted(Request request, double retryAfterMillis) {
        listener.onRequestRejected(request);
        accounting.record(request, Ending.REFUSED, () -> request.caller().onRejected(retryAfterMillis));
    }

    /** Fails a request that was not accepted. */
    void failUnaccepted(Request request, String reason) {
        accounting.record(request, Ending.FAILED, () -> request.caller().onFailed(reason));
    }

    /** Rejects a request; {@code retryAfterMillis} 0 is no advice. */
    void reject(InFlightRequest inFlight, double retryAfterMillis) {
        if (table.markAnswered(inFlight)) {
            release(inFlight, retryAfterMillis);
        }
    }

    /**
     * Ends a request that the module still counts on, and tells the module: rejects it where a retry is harmless, else
     * fails it.
     *
     * @param retryAfterMillis advice where it is rejected; 0 for none
     * @param reason           goes to the client where it is failed
     */
    void withdraw(InFlightRequest inFlight, double retryAfterMillis, String reason) {
        if (inFlight.isSafeToReject()) {
            rejectAndWithdraw(inFlight, retryAfterMillis);
        } else {
            failAndWithdraw(inFlight, reason);
        }
    }

    private void rejectAndWithdraw(InFlightRequest inFlight, double retryAfterMillis) {
        if (table.markAnswered(inFlight)) {
            loop.addEvent(new Abandoned(inFlight.id()));
            release(inFlight, retryAfterMillis);
        }
    }

    private void release(InFlightRequest inFlight, double retryAfterMillis) {
        Request request = inFlight.request();
        listener.onRequestRejected(request);
        accounting.record(inFlight, Ending.REFUSED, null, () -> request.caller().onRejected(retryAfterMillis));
        table.removeIfFinished(inFlight);
    }

    /** Fails a request; the reason goes to its client. */
    void fail(InFlightRequest inFlight, String reason) {
        if (table.markAnswered(inFlight)) {
            release(inFlight, reason);
        }
    }

    private void failAndWithdraw(InFlightRequest inFlight, String reason) {
        if (table.markAnswered(inFlight)) {
            loop.addEvent(new Abandoned(inFlight.id()));
            release(inFlight, reason);
        }
    }

    private void release(InFlightRequest inFlight, String reason) {
        Request request = inFlight.request();
        accounting.record(inFlight, Ending.FAILED, null, () -> request.caller().onFailed(reason));
        table.removeIfFinished(inFlight);
    }

    /** Ends a request whose client has gone: it is owed no answer. */
    void abandon(InFlightRequest inFlight) {
        if (table.markAnswered(inFlight)) {
            accounting.record(inFlight, Ending.LEFT, null, () -> {});
            loop.addEvent(new Abandoned(inFlight.id()));
            table.removeIfFinished(inFlight);
        }
    }

    /** Answers with an attempt's result. The request stays in the table, since its attempt's outcome is due next. */
    void serve(InFlightRequest inFlight, Attempt servingAttempt, byte[] result) {
        if (table.markAnswered(inFlight)) {
            Request request = inFlight.request();
            accounting.record(
                    inFlight,
                    Ending.SERVED,
                    servingAttempt,
                    () -> request.caller().onServed(result));
        }
    }
}
