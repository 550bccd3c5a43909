package nettlewick.core;

import java.util.function.BooleanSupplier;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointLoad;

/**
 * One try of a request at one endpoint. The core thread owns it; other threads may call {@link #request},
 * {@link #number}, {@link #endpoint} and {@link #mayBegin}.
 */
public final class Attempt extends OutboundCall {
    /** Below this share of progress, an extrapolation of the run time is too rough. */
    private static final double MIN_PROGRESS_TO_EXTRAPOLATE = 0.05;
    /** Least part of the expected run time that is assumed to remain without progress to go by. */
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
     * @param latestStartMillis until when it may start
     * @param requestUndecided  tells, on any thread, whether the request's final answer is still undecided
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

    /** The request that it is for. */
    public Request request() {
        return request;
    }

    /** Its place among the request's attempts, from 0. */
    public int number() {
        return number;
    }

    /**
     * Whether it may still be written to its endpoint at that time, in milliseconds: its request is undecided, the
     * client is present, and time is left. To be asked right before the write, on the event loop that owns the
     * client's connection.
     */
    public boolean mayStart(double nowMillis) {
        return isRequestUnanswered.getAsBoolean()
                && nowMillis < latestStartMillis
                && request.caller().isPresent();
    }

    /** The endpoint reported that it works on it; only the first report counts as its start. */
    void recordStart(double atMillis) {
        startedAtMillis = Double.isNaN(startedAtMillis) ? atMillis : startedAtMillis;
    }

    /** The endpoint reported which share is done, from 0 to 1. */
    void recordProgress(double progress) {
        reportedProgress = Math.max(reportedProgress, progress);
    }

    /** Records its end; {@code provenNeverRan} says that the endpoint certainly did not execute it. */
    void recordEnd(double atMillis, boolean provenNeverRan) {
        endedAtMillis = atMillis;
        neverRan = provenNeverRan;
    }

    /** Milliseconds that it has left to run, where the whole is expected to take {@code expectedRunMillis}. */
    double remainingMillis(double nowMillis, double expectedRunMillis) {
        double elapsed = runMillis(nowMillis);
        if (reportedProgress > MIN_PROGRESS_TO_EXTRAPOLATE && elapsed > 0) {
            return elapsed * (1 - reportedProgress) / reportedProgress;
        }
        return Math.max(expectedRunMillis * MIN_REMAINING_FRACTION, expectedRunMillis - elapsed);
    }

    /** Milliseconds from its sending to its reported start; NaN where no start was reported. */
    public double queuedMillis() {
        return startedAtMillis - sentAtMillis();
    }

    /** Milliseconds from its reported start to its end; 0 where there was no report or it is in flight. */
    public double ranMillis() {
        return Double.isNaN(endedAtMillis) ? 0 : runMillis(endedAtMillis);
    }

    /** Whether the endpoint may have executed it, or may yet. */
    boolean mayHaveRun() {
        return !isEnded() || !neverRan;
    }

    /** Whether its start was reported. */
    boolean hasStarted() {
        return !Double.isNaN(startedAtMillis);
    }

    /** Milliseconds from its reported start to its end, or to {@code nowMillis} while in flight; 0 without a report. */
    double runMillis(double nowMillis) {
        return hasStarted() ? millisSince(startedAtMillis, nowMillis) : 0;
    }

    /** Milliseconds from its sending to its end, or to {@code nowMillis} while in flight. */
    double totalMillis(double nowMillis) {
        return millisSince(sentAtMillis(), nowMillis);
    }

    private double millisSince(double fromMillis, double nowMillis) {
        return Math.max(0, (Double.isNaN(endedAtMillis) ? nowMillis : endedAtMillis) - fromMillis);
    }

    /**
     * How an attempt or a probe ended.
     *
     * @param body the result where the attempt was served, else null
     * @param load the load that the endpoint reported with it, or null
     */
    public record Outcome(AttemptResult result, byte[] body, EndpointLoad load) {
        /** An outcome that carries neither a body nor a load. */
        public static Outcome of(AttemptResult result) {
            return new Outcome(result, null, null);
        }
    }
}
