package nettlewick.core;

import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.Dispatcher.JobClass;
import nettlewick.decision.Dispatcher.Repeat;

/** A request until its final answer and its last outcome. */
final class Open {
    final Request request;
    final JobClass jobClass;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Its end is decided. Written by the core's thread alone; the event loop reads it before each send. */
    volatile boolean answered;

    Open(Request request, JobClass jobClass) {
        this.request = request;
        this.jobClass = jobClass;
    }

    /**
     * Until when one more attempt may begin, in milliseconds: its deadline, and for a keyed job the end of
     * its window, counted from the first attempt that may have run.
     */
    double lastBegin() {
        if (jobClass.repeat() == Repeat.DEDUP) {
            for (Attempt a : attempts) {
                if (a.mayHaveRun()) {
                    return Math.min(request.deadline(), a.sentAt() + jobClass.window() / Turns.NANOS);
                }
            }
        }
        return request.deadline();
    }

    boolean out() {
        return attempts.stream().anyMatch(a -> !a.over());
    }
}
