package nettlewick.core;

import nettlewick.decision.AttemptResult;

/** Sends load probes, times them out, and reports exactly one answer for each to the decision module. Core thread. */
final class ProbeTracker {
    /** An answer older than this is worth nothing to the module. */
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
        loop.schedule(now + PROBE_TIMEOUT_MILLIS, () -> {
            end(probe, Attempt.Outcome.of(AttemptResult.TIMEOUT), loop.nowMillis());
            transport.cancel(probe);
        });
        transport.probe(probe);
    }

    /** Takes the end of a probe; only its first end counts. */
    void end(Probe probe, Attempt.Outcome outcome, double endedAtMillis) {
        if (probe.markEnded()) {
            loop.addEvent(ModuleEvents.probeAnswer(probe, outcome, endedAtMillis));
        }
    }
}
