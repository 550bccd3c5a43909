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
import nettlewick.tenantpools.PoolState.Budget;
import nettlewick.tenantpools.PoolState.ResizeRequest;

/**
 * Holders of one member's duty, one after the other, and a provider: messages are lost, doubled and late, a
 * holder is replaced between storing and asking, one that was paused still asks, months turn, the provider's
 * clock jumps. The register is one place that refuses fences below its own, as the duties promise.
 */
final class ScaleOutSimulation {
    /** What is done wrong on purpose; NONE: nothing. */
    enum Bug {
        NONE,
        VERSION_NOT_CHECKED,
        ENDED_INSTANCES_NOT_BILLED,
        OLD_REPORT_TRUSTED,
        LATE_RESIZE_ACCEPTED
    }

    static final long CENTS_PER_HOUR = 6000;
    static final long MIN_BILLED_MILLIS = 60_000;
    static final ScaleOutPolicy.ScaleOutSettings SETTINGS = new ScaleOutPolicy.ScaleOutSettings(
            new SpendingCap.MonthlyCap(1000, 0.95, ZoneOffset.UTC), CENTS_PER_HOUR, MIN_BILLED_MILLIS, 10_000, false);

    private static final class LeaseHolder {
        long fence;
        ScaleOutPolicy policy = new ScaleOutPolicy(SETTINGS);
        ProviderReport report;
        boolean requestInFlight;
        /** How far its own clock is off. */
        long clockOffsetMillis;
    }

    private interface PendingMessage {
        void deliver();
    }

    private final Bug bug;
    private final SplittableRandom random;
    /** Whether the provider's clock is set now and then; else the holders' may be ahead. */
    private final boolean providerClockJumps;

    private long providerClockOffsetMillis;
    final ProviderModel provider = new ProviderModel(
            CENTS_PER_HOUR,
            MIN_BILLED_MILLIS,
            List.of("a"),
            Map.of(
                    "red",
                    new ProviderModel.Cap(SETTINGS.cap().cents(), SETTINGS.cap().nearFraction())));
    private final Map<Integer, ProviderReport> versions = new HashMap<>();
    private final List<PendingMessage> inTransit = new ArrayList<>();
    private long wallMillis = Instant.parse("2026-11-30T23:50:00Z").toEpochMilli();
    private double nowMillis;
    private Budget stored = Budget.NONE;
    private long storedFence;
    private LeaseHolder holder;
    private LeaseHolder paused;
    private long lastFence;
    private int nextKey;
    private int desiredSize;
    int resizeRequests;

    ScaleOutSimulation(long seed, Bug bug) {
        this.bug = bug;
        random = new SplittableRandom(seed);
        providerClockJumps = seed % 2 == 0;
        replaceHolder();
    }

    private void replaceHolder() {
        paused = holder;
        holder = new LeaseHolder();
        holder.fence = ++lastFence;
        holder.clockOffsetMillis = (random.nextInt(3) - (providerClockJumps ? 2 : 1)) * 3_600_000L;
    }

    private void advanceClock(long millis) {
        wallMillis += millis;
        nowMillis += millis;
    }

    /** One thing that may happen. */
    void step() {
        switch (random.nextInt(14)) {
            case 0 -> advanceClock(random.nextInt(8000));
            case 1 -> advanceClock(random.nextInt(120_000));
            case 2 -> {
                if (random.nextInt(4) == 0) {
                    replaceHolder();
                }
            }
            case 3 -> desiredSize = random.nextInt(9);
            case 4 -> provider.start("red", "std", wallMillis + providerClockOffsetMillis);
            case 5 -> {
                if (paused != null) {
                    runHolder(paused);
                }
            }
            case 6, 7, 8 -> deliverOne(random.nextInt(4));
            case 9 -> {
                if (providerClockJumps && random.nextInt(6) == 0) {
                    // The provider's clock is set ahead, maybe into the next month, and back again.
                    providerClockOffsetMillis = random.nextInt(2) * 900_000L;
                }
            }
            default -> runHolder(holder);
        }
    }

    /** Faults stop: nothing is lost, nobody is replaced. */
    void runWithoutFaults() {
        for (int i = 0; i < 400; i++) {
            advanceClock(50);
            runHolder(holder);
            deliverOne(0);
            provider.start("red", "std", wallMillis + providerClockOffsetMillis);
        }
    }

    boolean isSettled() {
        ScaleOutPolicy.Decision decision = holder.policy.decide(
                stored, holder.report, provider.size("red"), nowMillis, wallMillis + holder.clockOffsetMillis, "end");
        return holder.report != null
                && stored.pendingResize() == null
                && decision.store() == null
                && decision.resize() == null;
    }

    private void runHolder(LeaseHolder leaseHolder) {
        ScaleOutPolicy.Decision decision = leaseHolder.policy.decide(
                stored,
                leaseHolder.report,
                desiredSize,
                nowMillis,
                wallMillis + leaseHolder.clockOffsetMillis,
                "k" + nextKey);
        if (decision.store() != null) {
            if (leaseHolder.fence >= storedFence) {
                nextKey++;
                storedFence = leaseHolder.fence;
                stored = decision.store();
            }
        } else if (!leaseHolder.requestInFlight && decision.list()) {
            leaseHolder.requestInFlight = true;
            double asked = nowMillis;
            inTransit.add(() -> sendReport(leaseHolder, currentReport(), asked));
        } else if (!leaseHolder.requestInFlight && decision.resize() != null) {
            leaseHolder.requestInFlight = true;
            sendResize(leaseHolder, decision, leaseHolder.report);
        }
    }

    private void sendResize(LeaseHolder leaseHolder, ScaleOutPolicy.Decision decision, ProviderReport report) {
        ResizeRequest intent = decision.resize();
        double asked = nowMillis;
        resizeRequests++;
        inTransit.add(() -> {
            int version = bug == Bug.VERSION_NOT_CHECKED ? provider.version("red") : Integer.parseInt(report.etag());
            ProviderModel.Way way = provider.want(
                    "red",
                    intent.size(),
                    intent.idempotencyKey(),
                    version,
                    leaseHolder.fence,
                    bug == Bug.LATE_RESIZE_ACCEPTED ? Long.MAX_VALUE : decision.notAfterMillis(),
                    wallMillis + providerClockOffsetMillis);
            if (way == ProviderModel.Way.DONE) {
                sendReport(leaseHolder, currentReport(), asked);
            } else {
                inTransit.add(() -> {
                    leaseHolder.requestInFlight = false;
                    leaseHolder.report = null;
                });
            }
        });
    }

    private ProviderReport currentReport() {
        List<InstanceCharge> bills = provider.all("red").stream()
                .map(r -> new InstanceCharge(
                        r.name(), r.kind(), r.zone(), r.since(), r.until(), CENTS_PER_HOUR, MIN_BILLED_MILLIS))
                .toList();
        if (bug == Bug.ENDED_INSTANCES_NOT_BILLED) {
            bills = bills.stream().filter(InstanceCharge::isRunning).toList();
        }
        ProviderReport report = new ProviderReport(
                provider.size("red"),
                Integer.toString(provider.version("red")),
                bills,
                (wallMillis + providerClockOffsetMillis) / 1000 * 1000,
                nowMillis);
        versions.put(provider.version("red"), report);
        return report;
    }

    private void sendReport(LeaseHolder leaseHolder, ProviderReport report, double asked) {
        inTransit.add(() -> {
            leaseHolder.requestInFlight = false;
            boolean old = bug == Bug.OLD_REPORT_TRUSTED;
            ProviderReport taken = new ProviderReport(
                    report.desiredSize(),
                    report.etag(),
                    report.charges(),
                    report.providerTimeMillis(),
                    old ? nowMillis : asked);
            if (leaseHolder.report == null || taken.requestedAtMillis() >= leaseHolder.report.requestedAtMillis()) {
                leaseHolder.report = taken;
            }
        });
    }

    /** One of those under way arrives, is lost, or arrives twice; which, by the chance given (0: none is lost). */
    private void deliverOne(int faults) {
        if (inTransit.isEmpty()) {
            return;
        }
        PendingMessage step = inTransit.remove(random.nextInt(inTransit.size()));
        if (faults > 0 && random.nextInt(8) == 0) {
            // It is lost; whoever asked finds out by a time-out.
            Set.of(holder).forEach(leaseHolder -> leaseHolder.requestInFlight = false);
            return;
        }
        if (faults > 0 && random.nextInt(8) == 0) {
            inTransit.add(step);
        }
        step.deliver();
    }
}
