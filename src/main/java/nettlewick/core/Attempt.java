package nettlewick.core;

import java.util.function.BooleanSupplier;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointLoad;

/** One sending of a request to one worker. */
public final class Attempt extends OutboundCall {
    private final Request request;
    private final int number;
    private final double latestStartMillis;
    private final BooleanSupplier requestUndecided;
    private boolean neverRan;
    private double startedAtMillis = Double.NaN;
    private double endedAtMillis = Double.NaN;
    private double shareDone;

    /**
     * @param lastBegin until when it may begin, in milliseconds
     * @param open      tells, on any thread, whether the request's end is still undecided
     */
    Attempt(Request request, int number, String endpoint, double sentAt, double lastBegin, BooleanSupplier open) {
        super(endpoint, sentAt);
        this.request = request;
        this.number = number;
        this.latestStartMillis = lastBegin;
        this.requestUndecided = open;
    }

    public Request request() {
        return request;
    }

    public int number() {
        return number;
    }

    /**
     * Whether it may still be written to its worker at that time: its request is open, its client is there,
     * and time is left. Asked in the turn that writes, by whoever owns the client's connection.
     */
    public boolean mayBegin(double now) {
        return requestUndecided.getAsBoolean()
                && now < latestStartMillis
                && request.caller().present();
    }

    /** The worker tells that it has begun; only its first word counts. */
    void recordStart(double at) {
        startedAtMillis = Double.isNaN(startedAtMillis) ? at : startedAtMillis;
    }

    /** The worker tells how much of the job is done. */
    void recordProgress(double part) {
        shareDone = Math.max(shareDone, part);
    }

    /** Milliseconds that it has left to run, where it is expected to run for {@code whole} in all. */
    double remainingMillis(double now, double whole) {
        double span = elapsedMillis(now, false);
        return shareDone > 0.05 && span > 0 ? span * (1 - shareDone) / shareDone : Math.max(whole / 4, whole - span);
    }

    /** Milliseconds from its sending to the start that was told; NaN where none was. */
    public double waited() {
        return startedAtMillis - sentAtMillis();
    }

    /** Milliseconds from the start that was told to its end; 0 where none was, or it is out. */
    public double ran() {
        return Double.isNaN(endedAtMillis) ? 0 : elapsedMillis(endedAtMillis, false);
    }

    /** Its end, and whether it is proved that it never ran. */
    void recordEnd(double at, boolean never) {
        endedAtMillis = at;
        neverRan = never;
    }

    /** Whether it has run, may have, or may yet. */
    boolean mayHaveRun() {
        return !isEnded() || !neverRan;
    }

    /** Whether its start was told. */
    boolean hasStarted() {
        return !Double.isNaN(startedAtMillis);
    }

    /**
     * Milliseconds from its start to its end, or to that time while it is out; from its sending, if asked.
     */
    double elapsedMillis(double now, boolean fromSending) {
        double from = fromSending ? sentAtMillis() : startedAtMillis;
        return Double.isNaN(from) ? 0 : Math.max(0, (Double.isNaN(endedAtMillis) ? now : endedAtMillis) - from);
    }

    /** How an attempt, or a probe, ended. {@code body} is the result where it was served, else null. */
    public record Outcome(AttemptResult result, byte[] body, EndpointLoad load) {
        public static Outcome of(AttemptResult result) {
            return new Outcome(result, null, null);
        }
    }
}
