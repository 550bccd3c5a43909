package nettlewick.core;

import nettlewick.decision.Dispatcher.Load;
import nettlewick.decision.Dispatcher.Result;

/** One sending of a request to one worker. The core thread owns it; others read what is final. */
public final class Attempt {
    private final Request request;
    private final int number;
    private final String worker;
    private final double sentAt;
    private boolean over;

    Attempt(Request request, int number, String worker, double sentAt) {
        this.request = request;
        this.number = number;
        this.worker = worker;
        this.sentAt = sentAt;
    }

    public Request request() {
        return request;
    }

    public int number() {
        return number;
    }

    public String worker() {
        return worker;
    }

    double sentAt() {
        return sentAt;
    }

    /** True once only: guards the rule of one outcome for each dispatch. */
    boolean end() {
        boolean first = !over;
        over = true;
        return first;
    }

    boolean over() {
        return over;
    }

    /** How an attempt, or a probe, ended. {@code body} is the result where it was served, else null. */
    public record Outcome(Result result, byte[] body, Load load) {
        public static Outcome of(Result result) {
            return new Outcome(result, null, null);
        }
    }
}
