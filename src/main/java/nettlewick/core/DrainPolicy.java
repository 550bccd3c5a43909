package nettlewick.core;

import java.util.HashMap;
import java.util.Map;

/**
 * What a process that is to end still takes, by how long jobs run: docs/deployments.md, "Leaving with work in
 * hand". Pure: times are the caller's, in milliseconds; all it knows is what it is told.
 */
final class DrainPolicy {
    /** Take it; hold it back until the planned end begins; refuse it. */
    enum Verdict {
        TAKE,
        HOLD,
        REFUSE
    }

    /** Running times are rough: so many times what is expected is counted. */
    private static final double MARGIN = 1.3;
    /** And a wait is worth while where this part of what is expected ends in time: it costs little. */
    private static final double HOPE = 0.8;
    /** Time from a job's end to its answer's last byte, and for clocks of two processes to differ. */
    private static final double SPARE = 300;
    /** A planned end that has not come so long after it was foreseen does not come. */
    static final double LATE = 1000;
    /** Jobs over which running times are learned. */
    private static final double JOBS = 30;

    /** How long a class's jobs run: against their hints (the logarithm's mean), and where they have none. */
    private static final class Pace {
        double count;
        double drag;
        double span;
    }

    private final Map<String, Pace> paces = new HashMap<>();
    private double term = Double.NaN;
    private double kill = Double.NaN;
    private boolean begun;
    private boolean over;

    /** A job of that class ran for so long. */
    void ran(String requestClass, double hint, double span) {
        if (span <= 0) {
            return;
        }
        Pace p = paces.computeIfAbsent(requestClass, c -> new Pace());
        p.count = Math.min(p.count + 1, JOBS);
        p.span += (span - p.span) / p.count;
        p.drag += hint > 0 ? (Math.log(span / hint) - p.drag) / p.count : 0;
    }

    /** How long a job is expected to run; by its hint alone where none of its class has run, else 0. */
    double expected(String requestClass, double hint) {
        Pace p = paces.get(requestClass);
        return hint > 0 ? hint * Math.exp(p == null ? 0 : p.drag) : p == null ? 0 : p.span;
    }

    /** The planned end is expected to begin and the kill to come at these times. */
    void foresee(double termAt, double killAt) {
        if (!begun) {
            term = termAt;
            kill = killAt;
        }
    }

    /** It is not to end after all. */
    void stay() {
        foresee(Double.NaN, Double.NaN);
    }

    /** The planned end has begun; the kill comes no sooner than at that time. */
    void begin(double killAt) {
        begun = true;
        kill = killAt;
    }

    /** The kill is so near that nothing more is begun. */
    void over() {
        over = true;
    }

    boolean isOver() {
        return over;
    }

    /** When a held job is let go if the planned end has not begun. */
    double heldUntil() {
        return term + LATE;
    }

    /** What becomes of a job that comes now. Danger: one that outlives this process is lost with it. */
    Verdict verdict(String requestClass, double hint, double now) {
        if (over) {
            return Verdict.REFUSE;
        }
        if (Double.isNaN(kill) || !begun && now >= heldUntil() || inTime(now, expected(requestClass, hint), kill)) {
            return Verdict.TAKE;
        }
        return begun ? Verdict.REFUSE : Verdict.HOLD;
    }

    /**
     * Whether waiting until the foreseen end saves a job with that much left to run: it ends before the kill
     * then, and would not if the planned end began now, the kill {@code span} later.
     */
    boolean saves(double left, double now, double span) {
        return !begun && now < term && now + HOPE * left <= kill - SPARE && !inTime(now, left, now + span);
    }

    private static boolean inTime(double now, double run, double killAt) {
        return run <= 0 || now + MARGIN * run <= killAt - SPARE;
    }
}
