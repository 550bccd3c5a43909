package nettlewick.net.endpoint;

import java.util.Map;
import nettlewick.decision.EndpointLoad;
import nettlewick.net.format.JsonFields;
import nettlewick.net.format.NamedNumbers;

/** Reads the load reports of endpoints: {@code name=value,name=value}, or the same as a JSON object. */
final class LoadReport {
    private LoadReport() {}

    /** Parses the report in a header or body; null if nothing in it is readable. */
    static EndpointLoad parse(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        if (text.stripLeading().startsWith("{")) {
            try {
                return fromJson(JsonFields.parse("the load report", text));
            } catch (JsonFields.InvalidFieldException e) {
                return null;
            }
        }
        Map<String, Double> values = NamedNumbers.parse(text);
        return values.isEmpty() ? null : toEndpointLoad(name -> values.getOrDefault(name, Double.NaN));
    }

    static EndpointLoad fromJson(JsonFields fields) {
        return toEndpointLoad(name -> fields.numberOr(name, Double.NaN, -1e15, 1e15));
    }

    private interface Values {
        double get(String name);

        default double getEither(String name, String other) {
            double value = get(name);
            return Double.isNaN(value) ? get(other) : value;
        }
    }

    /** A value has one name in the settings and may have the simulator's name on the wire. */
    private static EndpointLoad toEndpointLoad(Values values) {
        return new EndpointLoad(
                values.get("x0"),
                values.get("x1"),
                values.getEither("depth", "queue"),
                values.getEither("concurrent", "inflight"),
                values.getEither("load_share", "util"));
    }
}
