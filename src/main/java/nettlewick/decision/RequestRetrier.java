package nettlewick.decision;

/** Sends a further attempt of a request, or ends the request. */
final class RequestRetrier {
    private final RetryPolicy policy;
    private final EndpointSelector selector;
    private final AttemptSender sender;
    private final RequestCompletion completion;

    RequestRetrier(RetryPolicy policy, EndpointSelector selector, AttemptSender sender, RequestCompletion completion) {
        this.policy = policy;
        this.selector = selector;
        this.sender = sender;
        this.completion = completion;
    }

    /** Sends one more attempt if that is allowed and useful; otherwise ends the request if none is in flight. */
    void retry(ScheduledRequest request) {
        if (request.isAnswered() || request.isStreaming()) {
            return;
        }
        if (policy.mayRetry(request)) {
            EndpointSelection selection = selector.select(request);
            if (selection.endpoint() != null && (selection.hasFreeCapacity() || policy.mayQueue(request))) {
                sender.send(request, selection);
                return;
            }
        }
        if (request.inFlightAttempts() == 0) {
            completion.rejectOrFail(request);
        }
    }
}
