package nettlewick.core;

import java.util.List;
import nettlewick.core.UsageRecorder.DeliveryCallback;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.core.UsageRecorder.FinishedRequest;

/** Records the end and the work of each request before its final answer is released. Core thread only. */
final class UsageAccounting {
    private static final double MICROS_PER_MILLI = 1e3;

    private final CoreLoop loop;
    private final UsageRecorder recorder;

    UsageAccounting(CoreLoop loop, UsageRecorder recorder) {
        this.loop = loop;
        this.recorder = recorder;
    }

    /** Records the end of a request that was never in flight, then runs {@code answer}. */
    void record(Request request, Ending ending, Runnable answer) {
        record(request, List.of(), ending, null, answer);
    }

    /** Records the end of a request in flight, then runs {@code answer}; {@code servingAttempt} may be null. */
    void record(InFlightRequest inFlight, Ending ending, Attempt servingAttempt, Runnable answer) {
        record(inFlight.request(), inFlight.attempts(), ending, servingAttempt, answer);
    }

    private void record(
            Request request, List<Attempt> attempts, Ending ending, Attempt servingAttempt, Runnable answer) {
        if (recorder == UsageRecorder.NONE) {
            answer.run();
            return;
        }
        FinishedRequest finished = measure(request, attempts, ending, servingAttempt);
        Runnable releaseIfOverdue = recorder.record(finished, callback -> {
            if (callback != DeliveryCallback.NONE) {
                request.caller().setDeliveryCallback(callback);
            }
            answer.run();
        });
        if (releaseIfOverdue != null) {
            double now = loop.nowMillis();
            loop.schedule(
                    Math.min(now + recorder.timeoutMillis(), Math.max(now, request.deadlineMillis())),
                    releaseIfOverdue);
        }
    }

    private FinishedRequest measure(Request request, List<Attempt> attempts, Ending ending, Attempt servingAttempt) {
        double now = loop.nowMillis();
        boolean isEstimate = servingAttempt != null && !servingAttempt.hasStarted();
        double extraMillis = 0;
        for (Attempt attempt : attempts) {
            extraMillis += attempt == servingAttempt ? 0 : attempt.runMillis(now);
        }
        return new FinishedRequest(
                request,
                ending,
                now,
                attempts.size(),
                toSlotMicros(servingMillis(request, servingAttempt, isEstimate), request),
                isEstimate,
                toSlotMicros(extraMillis, request));
    }

    private double servingMillis(Request request, Attempt servingAttempt, boolean isEstimate) {
        if (servingAttempt == null) {
            return 0;
        }
        double now = loop.nowMillis();
        if (!isEstimate) {
            return servingAttempt.runMillis(now);
        }
        return request.costHintMillis() > 0 ? request.costHintMillis() : servingAttempt.totalMillis(now);
    }

    private static long toSlotMicros(double millis, Request request) {
        return Math.round(millis * request.slots() * MICROS_PER_MILLI);
    }
}
