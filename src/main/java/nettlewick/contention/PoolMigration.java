package nettlewick.contention;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.contention.MigrationState.Step;

/**
 * Takes a member to runners of its own and back, a step at a time (docs/pools.md). One for each holding of
 * its
 * duty: the times of a step begin anew with a new holder. Time is handed in, in milliseconds. Pure.
 */
public final class PoolMigration {
    /** Returns are forgotten one by one after this long. */
    private static final double FORGIVEN = 600_000;
    /** A stay is doubled so often at most. */
    private static final int DOUBLED_MOST = 5;

    /** What the operators' settings say of one member. */
    public enum Will {
        /** As it goes. */
        NONE,
        /** In a pool, whatever it does. */
        POOL,
        /** Never in one. */
        COMMON
    }

    /**
     * @param share  the member's share of all runners
     * @param part   the part of all runners that pools may hold
     * @param settle how long a reserved pool is told before others leave it
     * @param come   how long runners that are added are waited for
     * @param clear  how long work in hand has to end
     * @param stay   how long it has kept to its share before it comes back
     */
    public record Terms(double share, double part, double settle, double come, double clear, double stay) {}

    /**
     * What a holder knows at this moment.
     *
     * @param ready by name
     * @param taken held by other members' pools
     * @param whole whether all runners that were asked for are there
     */
    public record View(Map<String, PoolReservation.Runner> ready, Set<String> taken, boolean whole) {}

    private final String member;
    private Step step;
    private double since;
    private boolean noisy;
    private double overAt = Double.NEGATIVE_INFINITY;
    private double forgivenAt;

    public PoolMigration(String tenant) {
        this.member = tenant;
    }

    /** What a window came to. */
    public void hear(ContentionEvidence.Finding finding, double now) {
        noisy = finding.noisy();
        if (finding.over()) {
            overAt = now;
        }
    }

    /** Where things go from here; the same as it was while nothing changes. */
    public MigrationState next(MigrationState m, Will will, Terms terms, View view, double now) {
        if (step != m.step()) {
            step = m.step();
            since = now;
            forgivenAt = now;
        }
        List<String> pool =
                PoolReservation.pick(member, view.ready(), m.runners(), view.taken(), terms.share(), terms.part());
        boolean wanted = will == Will.POOL || will == Will.NONE && noisy;
        boolean kept = will == Will.POOL
                || will == Will.NONE
                        && now - Math.max(overAt, since) < terms.stay() * (1 << Math.min(DOUBLED_MOST, m.returns()));
        switch (m.step()) {
            case NONE -> {
                if (wanted && !pool.isEmpty()) {
                    return m.with(pool).to(Step.RESERVE);
                }
                if (m.returns() > 0 && now - forgivenAt >= FORGIVEN) {
                    forgivenAt = now;
                    return new MigrationState(Step.NONE, List.of(), m.returns() - 1);
                }
                return m;
            }
            case RESERVE -> {
                boolean come = view.whole() || now - since >= terms.come();
                return changed(m, pool, now - since >= terms.settle() && come ? Step.CLEAR : m.step());
            }
            case CLEAR -> {
                return changed(m, pool, now - since >= terms.clear() ? Step.OPEN : m.step());
            }
            case OPEN -> {
                return changed(m, pool, kept && !pool.isEmpty() ? m.step() : Step.CLOSE);
            }
            default -> {
                return now - since >= terms.clear() ? new MigrationState(Step.NONE, List.of(), m.returns() + 1) : m;
            }
        }
    }

    /**
     * Danger: a list that says less for a moment would empty the pool; what is left stays until others
     * come.
     */
    private static MigrationState changed(MigrationState m, List<String> pool, Step to) {
        Set<String> now = new HashSet<>(m.runners());
        MigrationState next = pool.isEmpty() || now.equals(new HashSet<>(pool)) ? m : m.with(pool);
        return next.step() == to ? next : next.to(to);
    }
}
