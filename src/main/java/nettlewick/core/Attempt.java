package nettlewick.core;

import nettlewick.decision.Dispatcher.Load;
import nettlewick.decision.Dispatcher.Result;

/** One sending of a request to one worker. */
public final class Attempt extends Outgoing {
    private final Request request;
    private final int number;

    Attempt(Request request, int number, String worker, double sentAt) {
        super(worker, sentAt);
        this.request = request;
        this.number = number;
    }

    public Request request() {
        return request;
    }

    public int number() {
        return number;
    }

    /** How an attempt, or a probe, ended. {@code body} is the result where it was served, else null. */
    public record Outcome(Result result, byte[] body, Load load) {
        public static Outcome of(Result result) {
            return new Outcome(result, null, null);
        }
    }
}
