package nettlewick.tenantpools;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettlewick.stubs.ProviderModel;
import nettlewick.tenantpools.PoolState.Budget;
import nettlewick.tenantpools.PoolState.ResizeRequest;

/**
 * Successive holders of one tenant's lease and a provider, in virtual time: messages are lost, duplicated and delayed,
 * a holder is replaced between storing and asking, a paused one still sends requests, months begin, clocks jump. The
 * stored state is one place that rejects fences below its own, as the lease service promises.
 */
final class ScaleOutSimulation {
    /** Faults seeded on purpose. */
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
        /** How far its wall clock is off. */
        long clockOffsetMillis;
    }

    private interface PendingMessage {
        void deliver();
    }

    private final Bug bug;
    private final SplittableRandom random;
    /** Whether the provider's clock jumps; otherwise the holders' clocks may be ahead. */
    private final boolean providerClockJumps;

    private long providerClockOffsetMillis;
    final ProviderModel provider = new ProviderModel(
            CENTS_PER_HOUR,
            MIN_BILLED_MILLIS,
            List.of("a"),
            Map.of(
                    "red",
                    new ProviderModel.MonthlyCap(
                            SETTINGS.cap().cents(), SETTINGS.cap().nearFraction())));
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

    /** One random event. */
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
                    // Set ahead, possibly into the next month, and back again.
                    providerClockOffsetMillis = random.nextInt(2) * 900_000L;
                }
            }
            default -> runHolder(holder);
        }
    }

    /** Runs on without faults: no message is lost and no holder replaced. */
    void runWithoutFaults() {
        for (int i = 0; i < 400; i++) {
            advanceClock(50);
            runHolder(holder);
            deliverOne(0);
            provider.start("red", "std", wallMillis + providerClockOffsetMillis);
        }
    }

    boolean isSettled() {
        ScaleOutDecision decision = holder.policy.decide(
                stored, holder.report, provider.size("red"), nowMillis, wallMillis + holder.clockOffsetMillis, "end");
        return holder.report != null
                && stored.pendingResize() == null
                && !(decision instanceof ScaleOutDecision.Store)
                && !(decision instanceof ScaleOutDecision.Resize);
    }

    private void runHolder(LeaseHolder leaseHolder) {
        ScaleOutDecision decision = leaseHolder.policy.decide(
                stored,
                leaseHolder.report,
                desiredSize,
                nowMillis,
                wallMillis + leaseHolder.clockOffsetMillis,
                "k" + nextKey);
        if (decision instanceof ScaleOutDecision.Store store) {
            if (leaseHolder.fence >= storedFence) {
                nextKey++;
                storedFence = leaseHolder.fence;
                stored = store.budget();
            }
        } else if (!leaseHolder.requestInFlight && decision instanceof ScaleOutDecision.FetchReport) {
            leaseHolder.requestInFlight = true;
            double asked = nowMillis;
            inTransit.add(() -> sendReport(leaseHolder, currentReport(), asked));
        } else if (!leaseHolder.requestInFlight && decision instanceof ScaleOutDecision.Resize resize) {
            leaseHolder.requestInFlight = true;
            sendResize(leaseHolder, resize, leaseHolder.report);
        }
    }

    private void sendResize(LeaseHolder leaseHolder, ScaleOutDecision.Resize resize, ProviderReport report) {
        ResizeRequest request = resize.request();
        double asked = nowMillis;
        resizeRequests++;
        inTransit.add(() -> {
            int version = bug == Bug.VERSION_NOT_CHECKED ? provider.version("red") : Integer.parseInt(report.etag());
            ProviderModel.ResizeResult way = provider.resize(
                    "red",
                    request.size(),
                    request.idempotencyKey(),
                    version,
                    leaseHolder.fence,
                    bug == Bug.LATE_RESIZE_ACCEPTED ? Long.MAX_VALUE : resize.notAfterMillis(),
                    wallMillis + providerClockOffsetMillis);
            if (way == ProviderModel.ResizeResult.APPLIED) {
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
        List<InstanceCharge> charges = provider.allInstances("red").stream()
                .map(instance -> new InstanceCharge(
                        instance.name(),
                        instance.kind(),
                        instance.zone(),
                        instance.startedAt(),
                        instance.endedAt(),
                        CENTS_PER_HOUR,
                        MIN_BILLED_MILLIS))
                .toList();
        if (bug == Bug.ENDED_INSTANCES_NOT_BILLED) {
            charges = charges.stream().filter(InstanceCharge::isRunning).toList();
        }
        return new ProviderReport(
                provider.size("red"),
                Integer.toString(provider.version("red")),
                charges,
                (wallMillis + providerClockOffsetMillis) / 1000 * 1000,
                nowMillis);
    }

    private void sendReport(LeaseHolder leaseHolder, ProviderReport report, double asked) {
        inTransit.add(() -> {
            leaseHolder.requestInFlight = false;
            boolean fresh = bug == Bug.OLD_REPORT_TRUSTED;
            ProviderReport taken = new ProviderReport(
                    report.desiredSize(),
                    report.etag(),
                    report.charges(),
                    report.providerTimeMillis(),
                    fresh ? nowMillis : asked);
            if (leaseHolder.report == null || taken.requestedAtMillis() >= leaseHolder.report.requestedAtMillis()) {
                leaseHolder.report = taken;
            }
        });
    }

    /** Delivers a random message, or, if there are faults, may lose or duplicate it. */
    private void deliverOne(int faults) {
        if (inTransit.isEmpty()) {
            return;
        }
        PendingMessage message = inTransit.remove(random.nextInt(inTransit.size()));
        if (faults > 0 && random.nextInt(8) == 0) {
            // The message is lost: the sender's timeout expires.
            holder.requestInFlight = false;
            return;
        }
        if (faults > 0 && random.nextInt(8) == 0) {
            inTransit.add(message);
        }
        message.deliver();
    }
}
