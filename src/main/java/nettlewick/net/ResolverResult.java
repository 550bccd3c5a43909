package nettlewick.net;

import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.core.Roster;
import nettlewick.decision.Dispatcher.Life;

/**
 * What discovery told: a version of the list of sim runners, whole or only what changed. {@code faults} says
 * which entries could not be read; they are left out and do not cost the others.
 */
record ResolverResult(long seq, boolean whole, List<Host> hosts, List<Fields.Bad> faults) {
    /** A sim runner and where this dispatcher reaches it. */
    record Host(Roster.Entry entry, SocketAddress dial) {}

    private static final Map<String, Life> LIVES =
            new HashMap<>(Map.of("Ready", Life.READY, "Terminating", Life.DRAINING, "Gone", Life.GONE));

    static ResolverResult of(Fields f) {
        List<Host> hosts = new ArrayList<>();
        List<Fields.Bad> faults = new ArrayList<>();
        for (int i = 0; i < f.size("hosts"); i++) {
            try {
                hosts.add(host(f.part("hosts", i)));
            } catch (Fields.Bad e) {
                faults.add(e);
            }
        }
        return new ResolverResult(f.whole("seq", 0, Long.MAX_VALUE), f.flag("whole"), hosts, faults);
    }

    private static Host host(Fields h) {
        Life life = LIVES.get(h.text("health"));
        if (life == null) {
            throw new Fields.Bad(h.path("health"), h.text("health"), "Ready, Terminating or Gone");
        }
        return new Host(
                new Roster.Entry(
                        h.text("host"),
                        life,
                        h.numberOr("born_ms", 0, 0, 1e15),
                        (int) h.numberOr("block", 0, Integer.MIN_VALUE, Integer.MAX_VALUE),
                        h.textOr("class", null),
                        h.textOr("site", null),
                        h.numberOr("share", 1, 0, 1e9)),
                life == Life.GONE && !h.has("dial") ? null : Address.parse(h.path("dial"), h.text("dial")));
    }

    Roster roster() {
        return new Roster(whole, hosts.stream().map(Host::entry).toList());
    }
}
