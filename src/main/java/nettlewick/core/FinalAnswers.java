package nettlewick.core;

import nettlewick.core.UsageRecorder.Ending;
import nettlewick.decision.Event.Abandoned;

/** Delivers exactly one final answer per request; calls for an answered request are ignored. Core thread only. */
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

    /** Rejects a request that was not accepted; {@code retryAfterMillis} is 0 for no advice. */
    void rejectUnaccepted(Request request, double retryAfterMillis) {
        listener.onRequestRejected(request);
        accounting.record(request, Ending.REFUSED, () -> request.caller().onRejected(retryAfterMillis));
    }

    /** Fails a request that was not accepted. */
    void failUnaccepted(Request request, String reason) {
        accounting.record(request, Ending.FAILED, () -> request.caller().onFailed(reason));
    }

    /** Rejects a request; {@code retryAfterMillis} is 0 for no advice. */
    void reject(InFlightRequest inFlight, double retryAfterMillis) {
        if (table.markAnswered(inFlight)) {
            Request request = inFlight.request();
            listener.onRequestRejected(request);
            accounting.record(
                    inFlight, Ending.REFUSED, null, () -> request.caller().onRejected(retryAfterMillis));
            table.removeIfFinished(inFlight);
        }
    }

    /**
     * Ends a request that the module still handles, and notifies the module: rejects it if a retry is safe, otherwise
     * fails it.
     *
     * @param retryAfterMillis advice if the request is rejected; 0 for none
     * @param reason           sent to the client if the request is failed
     */
    void withdraw(InFlightRequest inFlight, double retryAfterMillis, String reason) {
        if (inFlight.isAnswered()) {
            return;
        }
        loop.addEvent(new Abandoned(inFlight.id()));
        if (inFlight.isSafeToReject()) {
            reject(inFlight, retryAfterMillis);
        } else {
            fail(inFlight, reason);
        }
    }

    /** Fails a request; the reason is sent to its client. */
    void fail(InFlightRequest inFlight, String reason) {
        if (table.markAnswered(inFlight)) {
            Request request = inFlight.request();
            accounting.record(
                    inFlight, Ending.FAILED, null, () -> request.caller().onFailed(reason));
            table.removeIfFinished(inFlight);
        }
    }

    /** Ends a request whose client has disconnected; no answer is sent. */
    void abandon(InFlightRequest inFlight) {
        if (table.markAnswered(inFlight)) {
            accounting.record(inFlight, Ending.LEFT, null, () -> {});
            loop.addEvent(new Abandoned(inFlight.id()));
            table.removeIfFinished(inFlight);
        }
    }

    /** Answers with an attempt's result. The request stays in the table until that attempt's outcome is reported. */
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
