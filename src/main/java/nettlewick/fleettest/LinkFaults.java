package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What the links between all parties do at a time: dispatchers go by their number, runners by their number
 * past the dispatchers, discovery by the last. The fate of each datagram is drawn from the seed, its sender,
 * its receiver and its number alone. Pure; steps change it while relays read it.
 */
final class LinkFaults {
    /** How a connection is treated from now on. */
    enum Way {
        OPEN,
        STALLED,
        REFUSED,
        RESET,
        TRICKLES
    }

    private record Cut(BitSet from, BitSet to, double until) {
        boolean cuts(int a, int b, double now) {
            return now < until && from.get(a) && to.get(b);
        }
    }

    private record Spell(BitSet whom, Way way, double until) {}

    private record Loss(double part, double until) {}

    private final Scenario.LinkSettings settings;
    private final long seed;
    private final List<Cut> cuts = new CopyOnWriteArrayList<>();
    private final List<Spell> spells = new CopyOnWriteArrayList<>();
    private volatile Loss loss = new Loss(0, 0);

    LinkFaults(Scenario.LinkSettings settings, long seed) {
        this.settings = settings;
        this.seed = seed;
    }

    /** Cuts the way from these to those; both ways where {@code both}. */
    void cut(BitSet from, BitSet to, boolean both, double until) {
        cuts.add(new Cut(from, to, until));
        if (both) {
            cuts.add(new Cut(to, from, until));
        }
    }

    /** Connections to these are treated so. */
    void treat(BitSet whom, Way way, double until) {
        spells.add(new Spell(whom, way, until));
    }

    void lose(double part, double until) {
        loss = new Loss(part, until);
    }

    boolean cut(int from, int to, double now) {
        return cuts.stream().anyMatch(c -> c.cuts(from, to, now));
    }

    /** How bytes from one to the other go now, on a connection that {@code server} accepted. */
    Way way(int from, int to, int server, double now) {
        if (cut(from, to, now)) {
            return Way.STALLED;
        }
        Way way = Way.OPEN;
        for (Spell s : spells) {
            if (now < s.until() && s.whom().get(server)) {
                way = s.way();
            }
        }
        return way;
    }

    double delay() {
        return settings.delay();
    }

    /** After how many milliseconds each copy of a datagram arrives; empty where it is lost. */
    List<Double> fate(int from, int to, long number, double now) {
        if (cut(from, to, now)) {
            return List.of();
        }
        double part = Math.max(settings.loss(), now < loss.until() ? loss.part() : 0);
        if (part == 0 && settings.duplicates() == 0 && settings.jitter() == 0) {
            return List.of(settings.delay());
        }
        SplittableRandom random = new SplittableRandom(
                seed * 0x9E3779B97F4A7C15L + from * 0x1000003L + to * 0x5BD1E995L + number * 0xC2B2AE3D27D4EB4FL);
        int copies = random.nextDouble() < part ? 0 : random.nextDouble() < settings.duplicates() ? 2 : 1;
        List<Double> delays = new ArrayList<>(copies);
        for (int i = 0; i < copies; i++) {
            delays.add(settings.delay() + random.nextDouble() * settings.jitter());
        }
        return delays;
    }
}
