package nettlewick.net.discovery;

import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.core.EndpointUpdate;
import nettlewick.decision.EndpointState;
import nettlewick.net.format.JsonFields;
import nettlewick.net.format.SocketAddressParser;

/**
 * An endpoint update from discovery: the complete list, or only what changed.
 *
 * @param sequence version of the list, as counted by the service
 * @param complete whether the list replaces all former entries
 * @param faults why entries could not be read; these are skipped and do not affect the others
 */
public record EndpointListSnapshot(
        long sequence,
        boolean complete,
        List<ReachableEndpoint> endpoints,
        List<JsonFields.InvalidFieldException> faults) {
    /** An endpoint and the address at which this dispatcher reaches it; null for one that is gone. */
    public record ReachableEndpoint(EndpointUpdate.Entry entry, SocketAddress address) {}

    private static final Map<String, EndpointState> HEALTH_NAMES = new HashMap<>(
            Map.of("Ready", EndpointState.READY, "Terminating", EndpointState.DRAINING, "Gone", EndpointState.GONE));

    /** Parses an update; entries that cannot be read are reported as faults. */
    public static EndpointListSnapshot parse(JsonFields fields) {
        List<ReachableEndpoint> endpoints = new ArrayList<>();
        List<JsonFields.InvalidFieldException> faults = new ArrayList<>();
        for (int i = 0; i < fields.size("hosts"); i++) {
            try {
                endpoints.add(parseEndpoint(fields.object("hosts", i)));
            } catch (JsonFields.InvalidFieldException e) {
                faults.add(e);
            }
        }
        return new EndpointListSnapshot(
                fields.integer("seq", 0, Long.MAX_VALUE), fields.flag("whole"), endpoints, faults);
    }

    private static ReachableEndpoint parseEndpoint(JsonFields fields) {
        EndpointState state = HEALTH_NAMES.get(fields.text("health"));
        if (state == null) {
            throw new JsonFields.InvalidFieldException(
                    fields.path("health"), fields.text("health"), "Ready, Terminating or Gone");
        }
        return new ReachableEndpoint(
                new EndpointUpdate.Entry(
                        fields.text("host"),
                        state,
                        fields.numberOr("born_ms", 0, 0, 1e15),
                        (int) fields.numberOr("block", 0, Integer.MIN_VALUE, Integer.MAX_VALUE),
                        fields.textOr("class", null),
                        fields.textOr("site", null),
                        fields.numberOr("share", 1, 0, 1e9)),
                state == EndpointState.GONE && !fields.has("dial")
                        ? null
                        : SocketAddressParser.parse(fields.path("dial"), fields.text("dial")));
    }

    /** The update without addresses, as the request coordinator takes it. */
    public EndpointUpdate toEndpointUpdate() {
        return new EndpointUpdate(
                complete, endpoints.stream().map(ReachableEndpoint::entry).toList());
    }
}
