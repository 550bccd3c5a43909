package nettlewick.tenantpools;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import nettlewick.stubs.ProviderModel;
import nettlewick.tenantpools.PoolState.Intent;
import nettlewick.tenantpools.PoolState.Money;

/**
 * Holders of one member's duty, one after the other, and a provider: messages are lost, doubled and late, a
 * holder is replaced between storing and asking, one that was paused still asks, months turn, the provider's
 * clock jumps. The register is one place that refuses fences below its own, as the duties promise.
 */
final class GrowthWorld {
    /** What is done wrong on purpose; NONE: nothing. */
    enum Bug {
        NONE,
        NO_VERSION,
        ENDED_FORGOTTEN,
        OLD_LIST_BELIEVED,
        LATE_WISH
    }

    static final long CENTS = 6000;
    static final long LEAST = 60_000;
    static final ScaleOutPolicy.Terms TERMS =
            new ScaleOutPolicy.Terms(new SpendingCap.Cap(1000, 0.95, ZoneOffset.UTC), CENTS, LEAST, 10_000, false);

    private static final class Holder {
        long fence;
        ScaleOutPolicy growth = new ScaleOutPolicy(TERMS);
        ProviderReport told;
        boolean asking;
        /** How far its own clock is off. */
        long off;
    }

    private interface Step {
        void act();
    }

    private final Bug bug;
    private final SplittableRandom random;
    /** Whether the provider's clock is set now and then; else the holders' may be ahead. */
    private final boolean jumps;

    private long jumped;
    final ProviderModel provider = new ProviderModel(
            CENTS,
            LEAST,
            List.of("a"),
            Map.of("red", new ProviderModel.Cap(TERMS.cap().cap(), TERMS.cap().near())));
    private final Map<Integer, ProviderReport> versions = new HashMap<>();
    private final List<Step> underWay = new ArrayList<>();
    private long wall = Instant.parse("2026-11-30T23:50:00Z").toEpochMilli();
    private double now;
    private Money stored = Money.NONE;
    private long storedUnder;
    private Holder holder;
    private Holder paused;
    private long fences;
    private int keys;
    private int wanted;
    int puts;

    GrowthWorld(long seed, Bug bug) {
        this.bug = bug;
        random = new SplittableRandom(seed);
        jumps = seed % 2 == 0;
        replace();
    }

    private void replace() {
        paused = holder;
        holder = new Holder();
        holder.fence = ++fences;
        holder.off = (random.nextInt(3) - (jumps ? 2 : 1)) * 3_600_000L;
    }

    private void pass(long millis) {
        wall += millis;
        now += millis;
    }

    /** One thing that may happen. */
    void step() {
        switch (random.nextInt(14)) {
            case 0 -> pass(random.nextInt(8000));
            case 1 -> pass(random.nextInt(120_000));
            case 2 -> {
                if (random.nextInt(4) == 0) {
                    replace();
                }
            }
            case 3 -> wanted = random.nextInt(9);
            case 4 -> provider.start("red", "std", wall + jumped);
            case 5 -> {
                if (paused != null) {
                    turn(paused);
                }
            }
            case 6, 7, 8 -> deliver(random.nextInt(4));
            case 9 -> {
                if (jumps && random.nextInt(6) == 0) {
                    // The provider's clock is set ahead, maybe into the next month, and back again.
                    jumped = random.nextInt(2) * 900_000L;
                }
            }
            default -> turn(holder);
        }
    }

    /** Faults stop: nothing is lost, nobody is replaced. */
    void settle() {
        for (int i = 0; i < 400; i++) {
            pass(50);
            turn(holder);
            deliver(0);
            provider.start("red", "std", wall + jumped);
        }
    }

    boolean settled() {
        ScaleOutPolicy.Next next =
                holder.growth.next(stored, holder.told, provider.size("red"), now, wall + holder.off, "end");
        return holder.told != null && stored.intent() == null && next.store() == null && next.put() == null;
    }

    private void turn(Holder h) {
        ScaleOutPolicy.Next next = h.growth.next(stored, h.told, wanted, now, wall + h.off, "k" + keys);
        if (next.store() != null) {
            if (h.fence >= storedUnder) {
                keys++;
                storedUnder = h.fence;
                stored = next.store();
            }
        } else if (!h.asking && next.list()) {
            h.asking = true;
            double asked = now;
            underWay.add(() -> tell(h, list(), asked));
        } else if (!h.asking && next.put() != null) {
            h.asking = true;
            put(h, next, h.told);
        }
    }

    private void put(Holder h, ScaleOutPolicy.Next next, ProviderReport told) {
        Intent intent = next.put();
        double asked = now;
        puts++;
        underWay.add(() -> {
            int version = bug == Bug.NO_VERSION ? provider.version("red") : Integer.parseInt(told.etag());
            ProviderModel.Way way = provider.want(
                    "red",
                    intent.size(),
                    intent.key(),
                    version,
                    h.fence,
                    bug == Bug.LATE_WISH ? Long.MAX_VALUE : next.notAfter(),
                    wall + jumped);
            if (way == ProviderModel.Way.DONE) {
                tell(h, list(), asked);
            } else {
                underWay.add(() -> {
                    h.asking = false;
                    h.told = null;
                });
            }
        });
    }

    private ProviderReport list() {
        List<InstanceCharge> bills = provider.all("red").stream()
                .map(r -> new InstanceCharge(r.name(), r.kind(), r.zone(), r.since(), r.until(), CENTS, LEAST))
                .toList();
        if (bug == Bug.ENDED_FORGOTTEN) {
            bills = bills.stream().filter(InstanceCharge::runs).toList();
        }
        ProviderReport told = new ProviderReport(
                provider.size("red"),
                Integer.toString(provider.version("red")),
                bills,
                (wall + jumped) / 1000 * 1000,
                now);
        versions.put(provider.version("red"), told);
        return told;
    }

    private void tell(Holder h, ProviderReport told, double asked) {
        underWay.add(() -> {
            h.asking = false;
            boolean old = bug == Bug.OLD_LIST_BELIEVED;
            ProviderReport taken =
                    new ProviderReport(told.size(), told.etag(), told.bills(), told.date(), old ? now : asked);
            if (h.told == null || taken.at() >= h.told.at()) {
                h.told = taken;
            }
        });
    }

    /** One of those under way arrives, is lost, or arrives twice; which, by the chance given (0: none is lost). */
    private void deliver(int faults) {
        if (underWay.isEmpty()) {
            return;
        }
        Step step = underWay.remove(random.nextInt(underWay.size()));
        if (faults > 0 && random.nextInt(8) == 0) {
            // It is lost; whoever asked finds out by a time-out.
            Set.of(holder).forEach(h -> h.asking = false);
            return;
        }
        if (faults > 0 && random.nextInt(8) == 0) {
            underWay.add(step);
        }
        step.act();
    }
}
