package nettlewick.net;

import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.core.EndpointUpdate;
import nettlewick.decision.EndpointState;

/**
 * What discovery told: a version of the list of sim runners, whole or only what changed. {@code faults} says
 * which entries could not be read; they are left out and do not cost the others.
 */
record EndpointListSnapshot(long seq, boolean whole, List<Host> hosts, List<JsonFields.InvalidFieldException> faults) {
    /** A sim runner and where this dispatcher reaches it. */
    record Host(EndpointUpdate.Entry entry, SocketAddress dial) {}

    private static final Map<String, EndpointState> LIVES = new HashMap<>(
            Map.of("Ready", EndpointState.READY, "Terminating", EndpointState.DRAINING, "Gone", EndpointState.GONE));

    static EndpointListSnapshot of(JsonFields f) {
        List<Host> hosts = new ArrayList<>();
        List<JsonFields.InvalidFieldException> faults = new ArrayList<>();
        for (int i = 0; i < f.size("hosts"); i++) {
            try {
                hosts.add(host(f.part("hosts", i)));
            } catch (JsonFields.InvalidFieldException e) {
                faults.add(e);
            }
        }
        return new EndpointListSnapshot(f.whole("seq", 0, Long.MAX_VALUE), f.flag("whole"), hosts, faults);
    }

    private static Host host(JsonFields h) {
        EndpointState life = LIVES.get(h.text("health"));
        if (life == null) {
            throw new JsonFields.InvalidFieldException(
                    h.path("health"), h.text("health"), "Ready, Terminating or Gone");
        }
        return new Host(
                new EndpointUpdate.Entry(
                        h.text("host"),
                        life,
                        h.numberOr("born_ms", 0, 0, 1e15),
                        (int) h.numberOr("block", 0, Integer.MIN_VALUE, Integer.MAX_VALUE),
                        h.textOr("class", null),
                        h.textOr("site", null),
                        h.numberOr("share", 1, 0, 1e9)),
                life == EndpointState.GONE && !h.has("dial") ? null : Address.parse(h.path("dial"), h.text("dial")));
    }

    EndpointUpdate roster() {
        return new EndpointUpdate(whole, hosts.stream().map(Host::entry).toList());
    }
}
