package nettlewick.core;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import nettlewick.core.Metrics.CoreBacklog;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.Dispatcher.EndpointCounts;
import nettlewick.decision.Dispatcher.PeerMessageFaults;

/** Copies the statistics of the decision module and the core loop to the metrics periodically. Core thread only. */
final class ModuleStatsSampler {
    private static final double SAMPLE_INTERVAL_MILLIS = 50;

    private final Dispatcher module;
    private final Metrics metrics;
    private final Set<String> loggedFaultKinds = new HashSet<>();
    private PeerMessageFaults lastFaults = new PeerMessageFaults(0, 0, 0);
    private double sampledAtMillis;

    ModuleStatsSampler(Dispatcher module, Metrics metrics) {
        this.module = module;
        this.metrics = metrics;
    }

    void sampleIfDue(double nowMillis, CoreBacklog backlog) {
        if (nowMillis - sampledAtMillis < SAMPLE_INTERVAL_MILLIS) {
            return;
        }
        sampledAtMillis = nowMillis;
        EndpointCounts counts = module.endpointCounts();
        metrics.setEndpointCounts(counts.listed(), counts.unavailable());
        metrics.setCoreBacklog(backlog);
        reportPeerFaults(module.peerMessageFaults());
    }

    /** Publishes the counts of discarded peer messages; logs the first occurrence of each kind. */
    private void reportPeerFaults(PeerMessageFaults faults) {
        if (faults.equals(lastFaults)) {
            return;
        }
        lastFaults = faults;
        Map<String, Long> countsByKind = new TreeMap<>(
                Map.of("damaged", faults.damaged(), "late", faults.late(), "unlisted", faults.unlisted()));
        countsByKind.forEach((kind, count) -> {
            if (count > 0 && loggedFaultKinds.add(kind)) {
                logFirstFault(kind, count);
            }
        });
        metrics.setPeerMessageFaults(countsByKind);
    }

    private static void logFirstFault(String kind, long count) {
        CoreLoop.LOG.warning(
                "peer-" + kind,
                "discarded " + count + " peer datagrams of kind '" + kind
                        + "'; further ones are counted in the metrics and not logged",
                "kind",
                kind);
    }
}
