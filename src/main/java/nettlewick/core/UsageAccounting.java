package nettlewick.core;

import java.util.List;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.SchedulerSettings;

/** How the end of a job comes into the books before its answer goes. */
abstract class UsageAccounting extends CoreLoop {
    private static final double MICROS = 1e3;
    private final UsageRecorder recorder;
    RequestListener listener = RequestListener.NONE;

    UsageAccounting(Clock clock, SchedulerSettings settings, Dispatcher module, UsageRecorder books) {
        super(clock, settings, module);
        this.recorder = books;
    }

    /** Tells it of all that happens from now on; before the thread starts. */
    public void setListener(RequestListener one) {
        listener = one;
    }

    /**
     * Has the end entered in the books, which let the answer go; {@code by} is the attempt that served it.
     */
    final void settle(Request r, InFlightRequest o, UsageRecorder.Ending ending, Attempt by, Runnable answer) {
        if (ending == UsageRecorder.Ending.REFUSED) {
            listener.refused(r);
        }
        if (recorder == UsageRecorder.NONE) {
            answer.run();
            return;
        }
        double work = 0;
        boolean estimate = by != null && !by.hasStarted();
        if (by != null) {
            work = estimate && r.costHint() > 0 ? r.costHint() : by.elapsedMillis(now, estimate);
        }
        double spare = 0;
        for (Attempt a : o == null ? List.<Attempt>of() : o.attempts) {
            spare += a == by ? 0 : a.elapsedMillis(now, false);
        }
        UsageRecorder.FinishedRequest job = new UsageRecorder.FinishedRequest(
                r,
                ending,
                now,
                o == null ? 0 : o.attempts.size(),
                Math.round(work * r.slots() * MICROS),
                estimate,
                Math.round(spare * r.slots() * MICROS));
        Runnable overdue = recorder.settle(job, receipt -> {
            if (receipt != UsageRecorder.Receipt.NONE) {
                r.caller().receipt(receipt);
            }
            answer.run();
        });
        if (overdue != null) {
            schedule(Math.min(now + recorder.patience(), Math.max(now, r.deadline())), overdue);
        }
    }
}
