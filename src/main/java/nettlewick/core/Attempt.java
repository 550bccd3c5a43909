package nettlewick.core;

import java.util.function.BooleanSupplier;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointLoad;

/**
 * One attempt to execute a request at one endpoint. Owned by the core thread; other threads may call {@link #request},
 * {@link #number}, {@link #endpoint} and {@link #mayStart}.
 */
public final class Attempt extends OutboundCall {
    /** Below this progress, extrapolating the run time is too inaccurate. */
    private static final double MIN_PROGRESS_TO_EXTRAPOLATE = 0.05;
    /** Fraction of the expected run time that is assumed to remain at least, if no progress was reported. */
    private static final double MIN_REMAINING_FRACTION = 0.25;

    private final Request request;
    private final int number;
    private final double latestStartMillis;
    private final BooleanSupplier isRequestUnanswered;
    private boolean neverRan;
    private double startedAtMillis = Double.NaN;
    private double endedAtMillis = Double.NaN;
    private double reportedProgress;

    /**
     * @param latestStartMillis   time from which on the attempt must not be started
     * @param isRequestUnanswered whether the request still has no final answer; called on any thread
     */
    Attempt(
            Request request,
            int number,
            String endpoint,
            double sentAtMillis,
            double latestStartMillis,
            BooleanSupplier isRequestUnanswered) {
        super(endpoint, sentAtMillis);
        this.request = request;
        this.number = number;
        this.latestStartMillis = latestStartMillis;
        this.isRequestUnanswered = isRequestUnanswered;
    }

    /** The request that this attempt executes. */
    public Request request() {
        return request;
    }

    /** The index among the request's attempts, starting at 0. */
    public int number() {
        return number;
    }

    /**
     * Whether the attempt may still be written to its endpoint at {@code nowMillis}: the request has no final answer,
     * its client is still connected, and the latest start time has not passed. To be called immediately before the
     * write, on the event loop that owns the client's connection.
     */
    public boolean mayStart(double nowMillis) {
        return isRequestUnanswered.getAsBoolean()
                && nowMillis < latestStartMillis
                && request.caller().isPresent();
    }

    /** Records that the endpoint reported working on the attempt; only the first report counts as the start. */
    void recordStart(double atMillis) {
        startedAtMillis = Double.isNaN(startedAtMillis) ? atMillis : startedAtMillis;
    }

    /** Records the progress that the endpoint reported, from 0 to 1. */
    void recordProgress(double progress) {
        reportedProgress = Math.max(reportedProgress, progress);
    }

    /** Records the end; {@code provenNeverRan} means that the endpoint certainly did not execute the attempt. */
    void recordEnd(double atMillis, boolean provenNeverRan) {
        endedAtMillis = atMillis;
        neverRan = provenNeverRan;
    }

    /** Estimated remaining run time, given the expected total of {@code expectedRunMillis}. */
    double remainingMillis(double nowMillis, double expectedRunMillis) {
        double elapsed = runMillis(nowMillis);
        if (reportedProgress > MIN_PROGRESS_TO_EXTRAPOLATE && elapsed > 0) {
            return elapsed * (1 - reportedProgress) / reportedProgress;
        }
        return Math.max(expectedRunMillis * MIN_REMAINING_FRACTION, expectedRunMillis - elapsed);
    }

    /** Milliseconds from sending to the reported start; NaN if no start was reported. */
    public double queuedMillis() {
        return startedAtMillis - sentAtMillis();
    }

    /** Milliseconds from the reported start to the end; 0 if no start was reported or the attempt is in flight. */
    public double ranMillis() {
        return Double.isNaN(endedAtMillis) ? 0 : runMillis(endedAtMillis);
    }

    /** Whether the endpoint may have executed the attempt, or may still do so. */
    boolean mayHaveRun() {
        return !isEnded() || !neverRan;
    }

    /** Whether the endpoint reported the start. */
    boolean hasStarted() {
        return !Double.isNaN(startedAtMillis);
    }

    /** Milliseconds from the reported start to the end, or to {@code nowMillis} while in flight; 0 if not reported. */
    double runMillis(double nowMillis) {
        return hasStarted() ? millisSince(startedAtMillis, nowMillis) : 0;
    }

    /** Milliseconds from sending to the end, or to {@code nowMillis} while in flight. */
    double totalMillis(double nowMillis) {
        return millisSince(sentAtMillis(), nowMillis);
    }

    private double millisSince(double fromMillis, double nowMillis) {
        return Math.max(0, (Double.isNaN(endedAtMillis) ? nowMillis : endedAtMillis) - fromMillis);
    }

    /**
     * The outcome of an attempt or a load probe.
     *
     * @param body the response body if the attempt was served, otherwise null
     * @param load the load report that came with it, or null
     */
    public record Outcome(AttemptResult result, byte[] body, EndpointLoad load) {
        /** Creates an outcome without a body and without a load report. */
        public static Outcome of(AttemptResult result) {
            return new Outcome(result, null, null);
        }
    }
}
