package nettlewick.core;

import nettlewick.decision.AttemptResult;

/** Delegates to a listener that may be set after construction, but only before the core thread starts. */
final class ReplaceableListener implements RequestListener {
    private RequestListener target = NONE;

    void replace(RequestListener listener) {
        target = listener;
    }

    @Override
    public void onRequestAccepted(Request request) {
        target.onRequestAccepted(request);
    }

    @Override
    public void onAttemptEnded(Attempt attempt, AttemptResult result) {
        target.onAttemptEnded(attempt, result);
    }

    @Override
    public void onRequestRejected(Request request) {
        target.onRequestRejected(request);
    }

    @Override
    public void onEndpointsUpdated(EndpointUpdate update) {
        target.onEndpointsUpdated(update);
    }
}
