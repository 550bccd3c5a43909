package nettlewick.core;

import java.util.List;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.core.UsageRecorder.FinishedRequest;
import nettlewick.core.UsageRecorder.Receipt;

/** Has each request's end and the work it took recorded before its final answer is released. Core thread. */
final class UsageAccounting {
    private static final double MICROS_PER_MILLI = 1e3;

    private final CoreLoop loop;
    private final UsageRecorder recorder;

    UsageAccounting(CoreLoop loop, UsageRecorder recorder) {
        this.loop = loop;
        this.recorder = recorder;
    }

    /** Records the end of a request that was never in flight, then lets {@code answer} run. */
    void record(Request request, Ending ending, Runnable answer) {
        record(request, List.of(), ending, null, answer);
    }

    /** Records the end of a request in flight, then lets {@code answer} run; {@code server} may be null. */
    void record(InFlightRequest inFlight, Ending ending, Attempt server, Runnable answer) {
        record(inFlight.request(), inFlight.attempts(), ending, server, answer);
    }

    private void record(Request request, List<Attempt> attempts, Ending ending, Attempt server, Runnable answer) {
        if (recorder == UsageRecorder.NONE) {
            answer.run();
            return;
        }
        FinishedRequest finished = measure(request, attempts, ending, server);
        Runnable releaseOverdue = recorder.record(finished, receipt -> {
            if (receipt != Receipt.NONE) {
                request.caller().onReceipt(receipt);
            }
            answer.run();
        });
        if (releaseOverdue != null) {
            double now = loop.nowMillis();
            loop.schedule(
                    Math.min(now + recorder.timeoutMillis(), Math.max(now, request.deadlineMillis())), releaseOverdue);
        }
    }

    private FinishedRequest measure(Request request, List<Attempt> attempts, Ending ending, Attempt server) {
        double now = loop.nowMillis();
        boolean isEstimate = server != null && !server.hasStarted();
        double extraMillis = 0;
        for (Attempt attempt : attempts) {
            extraMillis += attempt == server ? 0 : attempt.runMillis(now);
        }
        return new FinishedRequest(
                request,
                ending,
                now,
                attempts.size(),
                toSlotMicros(servedMillis(request, server, isEstimate), request),
                isEstimate,
                toSlotMicros(extraMillis, request));
    }

    private double servedMillis(Request request, Attempt server, boolean isEstimate) {
        if (server == null) {
            return 0;
        }
        double now = loop.nowMillis();
        if (!isEstimate) {
            return server.runMillis(now);
        }
        return request.costHintMillis() > 0 ? request.costHintMillis() : server.totalMillis(now);
    }

    private static long toSlotMicros(double millis, Request request) {
        return Math.round(millis * request.slots() * MICROS_PER_MILLI);
    }
}
