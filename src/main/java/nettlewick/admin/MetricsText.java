package nettlewick.admin;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import nettlewick.core.Metrics;
import nettlewick.core.Metrics.End;

/** The figures as operators read them: one {@code name=value} a line. */
final class MetricsText {
    private static final String PREFIX = "router.";

    private MetricsText() {}

    static String format(Metrics.Snapshot figures, Map<String, Number> more) {
        StringBuilder text = new StringBuilder();
        figures.jobs().forEach((name, counts) -> appendEnds(text, name, counts));
        appendLine(text, "relayed", figures.relayed());
        appendLine(text, "open_requests", figures.open());
        appendLine(text, "registry_entries", figures.listed());
        appendLine(text, "out_of_rotation", figures.avoided());
        figures.peers().forEach((kind, count) -> appendLine(text, "peers.passed_over." + kind, count));
        more.forEach((name, value) -> appendLine(text, name, value.longValue()));
        return text.toString();
    }

    private static void appendEnds(StringBuilder text, String name, List<Long> counts) {
        for (End end : End.values()) {
            appendLine(
                    text, "operations." + name + '.' + end.name().toLowerCase(Locale.ROOT), counts.get(end.ordinal()));
        }
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
