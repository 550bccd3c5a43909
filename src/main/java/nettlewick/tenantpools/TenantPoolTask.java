package nettlewick.tenantpools;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import nettlewick.contention.ContentionEvidence;
import nettlewick.contention.MigrationState;
import nettlewick.contention.PoolMigration;
import nettlewick.contention.PoolReservation;
import nettlewick.contention.UsageReporter;
import nettlewick.core.Clock;
import nettlewick.lease.LeaseTask;
import nettlewick.log.ComponentLogger;

/**
 * What is done with one member's duty: its holder judges, moves, and asks the provider; everyone else
 * follows,
 * and tells what it sees. Belongs to the duties' thread.
 */
final class TenantPoolTask implements LeaseTask {
    private static final ComponentLogger LOG = ComponentLogger.of("pools");
    /** What may come next is looked at once in so many milliseconds, and after each version. */
    private static final double EACH = 20;
    /** A demand is taken for gone only once this many windows show less. */
    private static final int DEMANDS = 10;
    /** Windows for which all are listened to after anyone has spoken of its own accord. */
    private static final int LISTENS = 10;
    /** Pauses between tries at the provider: the first bound and the longest. */
    private static final double FIRST = 100;

    private static final double LONGEST = 10_000;

    private final String member;
    private final Supplier<PoolSettings> settings;
    private final PoolAssignments board;
    private final UsageReporter speaker;
    private final Provider provider;
    private final Clock clock;
    private final DoubleConsumer changed;
    private final SplittableRandom random;
    private Desk desk;
    /** Whether the holder wants words from all. */
    private boolean listening;

    // While it is held
    private long fence = -1;
    private boolean announced;
    private long lastVersion;
    private double turnAt;
    private ContentionEvidence evidence;
    private PoolMigration mover;
    private double windowAt;
    /**
     * For so many windows more, whatever they bring, words are wanted; and whether the member is being
     * moved.
     */
    private int alarmedFor;

    private boolean lately;
    private final ArrayDeque<Double> parts = new ArrayDeque<>();
    private ProviderReport told;
    private boolean asking;
    private double askAt;
    private int failures;
    private boolean settled;
    private ScaleOutPolicy growth;
    private ScaleOutPolicy.Terms grownBy;
    /** Read by whoever asks for figures; null while it is not held here. */
    private volatile ScaleOutPolicy.Means means;

    private long keys;

    /** @param changed told at each word and each beat, with the time */
    TenantPoolTask(
            String tenant,
            Supplier<PoolSettings> settings,
            PoolAssignments board,
            UsageReporter speaker,
            Provider provider,
            Clock clock,
            long seed,
            DoubleConsumer changed) {
        this.member = tenant;
        this.settings = settings;
        this.board = board;
        this.speaker = speaker;
        this.provider = provider;
        this.clock = clock;
        this.changed = changed;
        random = new SplittableRandom(seed);
    }

    @Override
    public void joins(Desk one) {
        desk = one;
    }

    private PoolSettings.Member own() {
        return settings.get().members().get(member);
    }

    @Override
    public byte[] turn(HeldLease hold) {
        PoolState s = PoolState.of(hold.state());
        if (fence != hold.fence()) {
            begin(hold);
            return s.held().bytes();
        }
        if (hold.version() == lastVersion && hold.now() < turnAt) {
            return null;
        }
        lastVersion = hold.version();
        turnAt = hold.now() + EACH;
        if (!announced) {
            announced = true;
            LeaseTask.held(PoolSettings.duty(member), hold, s.term());
        }
        lately = s.move().step() != MigrationState.Step.NONE;
        judge(hold.now());
        PoolState next = step(s, hold.now());
        return next == s ? null : next.bytes();
    }

    private void begin(HeldLease hold) {
        fence = hold.fence();
        announced = false;
        lastVersion = -1;
        evidence = new ContentionEvidence(member, settings.get().shares());
        mover = new PoolMigration(member);
        windowAt = hold.now() + settings.get().window();
        parts.clear();
        alarmedFor = 0;
        told = null;
        asking = false;
        askAt = hold.now();
        failures = 0;
        settled = false;
    }

    private void judge(double now) {
        if (now >= windowAt) {
            windowAt = now + settings.get().window();
            ContentionEvidence.Finding finding = evidence.window(board.apart(member));
            alarmedFor = Math.max(0, alarmedFor - 1);
            mover.hear(finding, now);
            parts.add(finding.part());
            if (parts.size() > DEMANDS) {
                parts.remove();
            }
        }
    }

    /** The next state, or the same one. */
    private PoolState step(PoolState s, double now) {
        Map<String, PoolReservation.Runner> ready = board.ready();
        boolean whole = own().growth() == null || settled;
        PoolMigration.View view =
                new PoolMigration.View(ready, board.taken(member, s.move().runners()), whole);
        MigrationState next = mover.next(s.move(), own().will(), settings.get().moves(member), view, now);
        if (!next.equals(s.move())) {
            LOG.info(
                    "pool-" + next.step().name().toLowerCase(Locale.ROOT),
                    "member " + member + ": " + next.step() + " with runners " + next.runners(),
                    "member",
                    member,
                    "step",
                    next.step(),
                    "fence",
                    fence);
            return s.moved(next);
        }
        if (own().growth() == null) {
            return s;
        }
        List<String> names = told == null
                ? s.added()
                : told.running().stream().map(InstanceCharge::name).sorted().toList();
        return names.equals(s.added()) ? grow(s, ready, now) : s.with(names);
    }

    private PoolState grow(PoolState s, Map<String, PoolReservation.Runner> ready, double now) {
        if (!own().growth().equals(grownBy)) {
            grownBy = own().growth();
            growth = new ScaleOutPolicy(grownBy);
        }
        String key = PoolSettings.duty(member) + "-" + Long.toHexString(fence) + "-" + keys;
        ScaleOutPolicy.Next next = growth.next(s.money(), told, wanted(s.move(), ready), now, (long) clock.now(), key);
        means = growth.means();
        settled = next == ScaleOutPolicy.Next.NOTHING
                && told != null
                && told.running().size() >= told.size()
                && told.running().stream().allMatch(b -> ready.containsKey(b.name()));
        if (next.store() != null) {
            keys++;
            if (!next.store().near().equals(s.money().near())) {
                ScaleOutPolicy.Means m = growth.means();
                LOG.warning(
                        "near-cap",
                        "member " + member + " is near its cap: spent " + m.spent()
                                + ", bound to spend " + m.committed() + " of " + m.cap()
                                + "; nothing is added before " + m.resumes(),
                        "member",
                        member,
                        "spent",
                        m.spent(),
                        "cap",
                        m.cap());
            }
            return s.paying(next.store());
        }
        if (asking || now < askAt) {
            return s;
        }
        if (next.list()) {
            asking = true;
            provider.list(member, now, back(fence));
        } else if (next.put() != null) {
            asking = true;
            LOG.info(
                    "asks-provider",
                    "asks the provider for " + next.put().size() + " runners for " + member,
                    "member",
                    member,
                    "size",
                    next.put().size(),
                    "key",
                    next.put().key(),
                    "fence",
                    fence);
            provider.put(member, next, told.etag(), fence, own().kind(), now, back(fence));
        }
        return s;
    }

    private Consumer<Provider.Answer> back(long under) {
        return answer -> desk.run(() -> {
            if (under == fence) {
                answered(answer, System.nanoTime() / 1e6);
            }
        });
    }

    private void answered(Provider.Answer answer, double now) {
        asking = false;
        if (answer.way() == Provider.Way.TOLD) {
            failures = 0;
            askAt = now;
            if (told == null || answer.told().at() >= told.at()) {
                told = answer.told();
            }
            return;
        }
        // Danger: all holders come back at once to a provider that was down. The pause is drawn from the
        // whole.
        double bound = Math.min(LONGEST, FIRST * Math.pow(2, Math.min(30, failures++)));
        askAt = now + answer.later() + bound * random.nextDouble();
        switch (answer.way()) {
            case STALE -> told = null;
            case FENCED -> {
                LOG.warning(
                        "outdone",
                        "the provider has seen a higher fence for " + member,
                        "member",
                        member,
                        "fence",
                        fence,
                        "seen",
                        answer.fence());
                desk.outdo(PoolSettings.duty(member), answer.fence());
            }
            default ->
                LOG.info(
                        "provider-fails",
                        "the provider did not answer for " + member,
                        "member",
                        member,
                        "way",
                        answer.way());
        }
    }

    /** How many runners its demand is worth beyond its share; below 0: not known yet. */
    private int wanted(MigrationState move, Map<String, PoolReservation.Runner> ready) {
        if (move.step() == MigrationState.Step.NONE || move.step() == MigrationState.Step.CLOSE) {
            return 0;
        }
        double part = parts.stream().mapToDouble(p -> p).max().orElse(-1);
        long common = ready.values().stream().filter(r -> r.addedFor() == null).count();
        double beyond = part - settings.get().shares().get(member);
        return part < 0 ? -1 : (int) Math.max(0, Math.min(own().most(), Math.round(beyond * common)));
    }

    @Override
    public void lost() {
        fence = -1;
        means = null;
    }

    @Override
    public void news(long under, long version, byte[] state, boolean wanted, double now) {
        listening = wanted;
        board.take(member, PoolState.of(state), now);
        changed.accept(now);
    }

    @Override
    public void word(int from, long life, byte[] word, double now) {
        if (fence >= 0 && !evidence.hear(from, life, word)) {
            LOG.warning("word-passed-over", "a word on " + member + " cannot be read", "from", from);
        }
        // At once: the others' words of the last windows are in before this one ends.
        if (fence >= 0 && evidence.alarmed()) {
            if (alarmedFor == 0) {
                LOG.info("hears-all", "hears all on member " + member, "member", member, "from", from);
            }
            alarmedFor = LISTENS;
        }
    }

    @Override
    public List<byte[]> tell(long under, double now) {
        changed.accept(now);
        return speaker.words(
                member,
                under,
                listening,
                settings.get().window(),
                now,
                () -> board.apart(member).keySet());
    }

    @Override
    public boolean listens() {
        return fence >= 0 && (lately || alarmedFor > 0);
    }

    @Override
    public boolean idle() {
        return !listens();
    }

    /** Figures for operators while it is held here. */
    ScaleOutPolicy.Means means() {
        return means;
    }
}
