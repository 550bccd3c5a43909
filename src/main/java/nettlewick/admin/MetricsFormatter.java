package nettlewick.admin;

import java.util.List;
import java.util.Map;
import nettlewick.core.Metrics;
import nettlewick.core.Metrics.RequestEnd;

/** Formats metrics as text, one {@code name=value} per line. Operators' tools rely on the names. */
final class MetricsFormatter {
    private static final String PREFIX = "router.";

    private MetricsFormatter() {}

    static String format(Metrics.Snapshot metrics, Map<String, Number> additional) {
        StringBuilder text = new StringBuilder();
        metrics.endsByClass().forEach((requestClass, counts) -> appendOutcomes(text, requestClass, counts));
        appendLine(text, "relayed", metrics.forwardedAttempts());
        appendLine(text, "open_requests", metrics.inFlightRequests());
        appendLine(text, "registry_entries", metrics.listedEndpoints());
        appendLine(text, "out_of_rotation", metrics.ejectedEndpoints());
        metrics.peerMessageFaults().forEach((kind, count) -> appendLine(text, "peers.passed_over." + kind, count));
        appendLine(text, "core.queued_tasks", metrics.coreBacklog().queuedTasks());
        appendLine(text, "core.scheduled_timers", metrics.coreBacklog().scheduledTimers());
        appendLine(text, "heap.used_bytes", heapUsedBytes());
        additional.forEach((name, value) -> appendLine(text, name, value.longValue()));
        return text.toString();
    }

    private static void appendOutcomes(StringBuilder text, String requestClass, List<Long> counts) {
        for (RequestEnd end : RequestEnd.values()) {
            appendLine(text, "operations." + requestClass + '.' + end.metricName(), counts.get(end.ordinal()));
        }
    }

    /** Heap that is occupied, including garbage that is not collected yet. */
    private static long heapUsedBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
