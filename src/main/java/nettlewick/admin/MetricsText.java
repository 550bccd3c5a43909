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

    static String of(Metrics.Snapshot figures, Map<String, Number> more) {
        StringBuilder text = new StringBuilder();
        figures.jobs().forEach((name, counts) -> ends(text, name, counts));
        line(text, "relayed", figures.relayed());
        line(text, "open_requests", figures.open());
        line(text, "registry_entries", figures.listed());
        line(text, "out_of_rotation", figures.avoided());
        figures.peers().forEach((kind, count) -> line(text, "peers.passed_over." + kind, count));
        more.forEach((name, value) -> line(text, name, value.longValue()));
        return text.toString();
    }

    private static void ends(StringBuilder text, String name, List<Long> counts) {
        for (End end : End.values()) {
            line(text, "operations." + name + '.' + end.name().toLowerCase(Locale.ROOT), counts.get(end.ordinal()));
        }
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
