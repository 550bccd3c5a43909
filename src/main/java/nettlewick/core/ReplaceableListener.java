package nettlewick.core;

import nettlewick.decision.AttemptResult;

/** Forwards to a listener that may be set after construction, but before the core thread starts. */
final class ReplaceableListener implements RequestListener {
    private RequestListener target = NONE;

    void replace(RequestListener listener) {
        target = listener;
    }

    @Override
    public void asked(Request request) {
        target.asked(request);
    }

    @Override
    public void ended(Attempt attempt, AttemptResult result) {
        target.ended(attempt, result);
    }

    @Override
    public void refused(Request request) {
        target.refused(request);
    }

    @Override
    public void listed(EndpointUpdate update) {
        target.listed(update);
    }
}
