package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * State of the links between all parties at a time. Dispatchers are identified by their number, endpoints by numbers
 * after the dispatchers', discovery and the provider by the last ones. Loss and delay of a datagram depend only on
 * the seed, its sender, its receiver and its number. Performs no I/O; steps change it while relays read it.
 */
final class LinkFaults {
    /** How a relay treats a connection. */
    enum ConnectionState {
        OPEN,
        STALLED,
        REFUSED,
        RESET,
        TRICKLING
    }

    private record Partition(BitSet from, BitSet to, double until) {
        boolean covers(int a, int b, double now) {
            return now < until && from.get(a) && to.get(b);
        }
    }

    private record ServerFault(BitSet servers, ConnectionState state, double until) {}

    private record Loss(double fraction, double until) {}

    private final Scenario.LinkSettings settings;
    private final long seed;
    private final List<Partition> partitions = new CopyOnWriteArrayList<>();
    private final List<ServerFault> serverFaults = new CopyOnWriteArrayList<>();
    private volatile Loss loss = new Loss(0, 0);

    LinkFaults(Scenario.LinkSettings settings, long seed) {
        this.settings = settings;
        this.seed = seed;
    }

    /** Cuts the links from one set of parties to another, in both directions if {@code bothWays}. */
    void cut(BitSet from, BitSet to, boolean bothWays, double until) {
        partitions.add(new Partition(from, to, until));
        if (bothWays) {
            partitions.add(new Partition(to, from, until));
        }
    }

    /** Applies a state to all connections to some servers. */
    void addServerFault(BitSet servers, ConnectionState state, double until) {
        serverFaults.add(new ServerFault(servers, state, until));
    }

    void setLoss(double fraction, double until) {
        loss = new Loss(fraction, until);
    }

    boolean isCut(int from, int to, double now) {
        return partitions.stream().anyMatch(c -> c.covers(from, to, now));
    }

    /** Returns the current state of one direction of a connection that {@code server} accepted. */
    ConnectionState connectionState(int from, int to, int server, double now) {
        if (isCut(from, to, now)) {
            return ConnectionState.STALLED;
        }
        ConnectionState state = ConnectionState.OPEN;
        for (ServerFault fault : serverFaults) {
            if (now < fault.until() && fault.servers().get(server)) {
                state = fault.state();
            }
        }
        return state;
    }

    double delayMillis() {
        return settings.delayMillis();
    }

    /** Returns the delay in milliseconds of each copy of a datagram; empty if it is lost. */
    List<Double> copyDelays(int from, int to, long number, double now) {
        if (isCut(from, to, now)) {
            return List.of();
        }
        double lossFraction = Math.max(settings.lossFraction(), now < loss.until() ? loss.fraction() : 0);
        if (lossFraction == 0 && settings.duplicateFraction() == 0 && settings.jitterMillis() == 0) {
            return List.of(settings.delayMillis());
        }
        SplittableRandom random = new SplittableRandom(
                seed * 0x9E3779B97F4A7C15L + from * 0x1000003L + to * 0x5BD1E995L + number * 0xC2B2AE3D27D4EB4FL);
        int copies =
                random.nextDouble() < lossFraction ? 0 : random.nextDouble() < settings.duplicateFraction() ? 2 : 1;
        List<Double> delays = new ArrayList<>(copies);
        for (int i = 0; i < copies; i++) {
            delays.add(settings.delayMillis() + random.nextDouble() * settings.jitterMillis());
        }
        return delays;
    }
}
