package nettlewick.core;

import nettlewick.decision.AttemptResult;

/** Sends load probes, enforces their timeout, and reports one answer of each to the module. Core thread only. */
final class ProbeTracker {
    /** An answer that takes longer than this is of no use to the module. */
    private static final double PROBE_TIMEOUT_MILLIS = 1000;

    private final CoreLoop loop;
    private final Transport transport;

    ProbeTracker(CoreLoop loop, Transport transport) {
        this.loop = loop;
        this.transport = transport;
    }

    void send(String endpoint) {
        double now = loop.nowMillis();
        Probe probe = new Probe(endpoint, now);
        probe.setTimeout(loop.schedule(now + PROBE_TIMEOUT_MILLIS, () -> {
            end(probe, Attempt.Outcome.of(AttemptResult.TIMEOUT), loop.nowMillis());
            transport.cancel(probe);
        }));
        transport.probe(probe);
    }

    /** Ends a probe; calls after the first one are ignored. */
    void end(Probe probe, Attempt.Outcome outcome, double endedAtMillis) {
        if (probe.markEnded()) {
            loop.addEvent(ModuleEvents.probeAnswer(probe, outcome, endedAtMillis));
        }
    }
}
