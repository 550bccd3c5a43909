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
 * Simulates successive holders of one tenant's lease and a provider in virtual time. Messages are lost, duplicated and
 * delayed, holders are replaced between storing a resize and sending it, paused holders still send requests, months
 * begin, and clocks jump. The stored state is a single copy that rejects lower fences, as the lease service guarantees.
 */
final class ScaleOutSimulation {
    /** Intentional faults of the provider or the holder. */
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
        /** The error of its wall clock. */
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
                            SETTINGS.cap().cents(), SETTINGS.cap().nearCapFraction())));
    private final List<PendingMessage> inTransit = new ArrayList<>();
    private long wallMillis = Instant.parse("2026-11-30T23:50:00Z").toEpochMilli();
    private double nowMillis;
    private Budget storedBudget = Budget.NONE;
    private long storedFence;
    private LeaseHolder holder;
    private LeaseHolder pausedHolder;
    private long lastFence;
    private int nextKeyNumber;
    private int desiredSize;
    int resizeRequests;

    ScaleOutSimulation(long seed, Bug bug) {
        this.bug = bug;
        random = new SplittableRandom(seed);
        providerClockJumps = seed % 2 == 0;
        replaceHolder();
    }

    private void replaceHolder() {
        pausedHolder = holder;
        holder = new LeaseHolder();
        holder.fence = ++lastFence;
        holder.clockOffsetMillis = (random.nextInt(3) - (providerClockJumps ? 2 : 1)) * 3_600_000L;
    }

    private void advanceClock(long millis) {
        wallMillis += millis;
        nowMillis += millis;
    }

    /** Simulates one random event. */
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
                if (pausedHolder != null) {
                    runHolder(pausedHolder);
                }
            }
            case 6, 7, 8 -> deliverOne(random.nextInt(4));
            case 9 -> {
                if (providerClockJumps && random.nextInt(6) == 0) {
                    // The clock is set ahead, possibly into the next month, or back again.
                    providerClockOffsetMillis = random.nextInt(2) * 900_000L;
                }
            }
            default -> runHolder(holder);
        }
    }

    /** Continues without faults: no message is lost and no holder is replaced. */
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
                storedBudget,
                holder.report,
                provider.size("red"),
                nowMillis,
                wallMillis + holder.clockOffsetMillis,
                "end");
        return holder.report != null
                && storedBudget.pendingResize() == null
                && !(decision instanceof ScaleOutDecision.StoreBudget)
                && !(decision instanceof ScaleOutDecision.Resize);
    }

    private void runHolder(LeaseHolder leaseHolder) {
        ScaleOutDecision decision = leaseHolder.policy.decide(
                storedBudget,
                leaseHolder.report,
                desiredSize,
                nowMillis,
                wallMillis + leaseHolder.clockOffsetMillis,
                "k" + nextKeyNumber);
        if (decision instanceof ScaleOutDecision.StoreBudget store) {
            if (leaseHolder.fence >= storedFence) {
                nextKeyNumber++;
                storedFence = leaseHolder.fence;
                storedBudget = store.budget();
            }
        } else if (!leaseHolder.requestInFlight && decision instanceof ScaleOutDecision.FetchReport) {
            leaseHolder.requestInFlight = true;
            double requestedAtMillis = nowMillis;
            inTransit.add(() -> sendReport(leaseHolder, currentReport(), requestedAtMillis));
        } else if (!leaseHolder.requestInFlight && decision instanceof ScaleOutDecision.Resize resize) {
            leaseHolder.requestInFlight = true;
            sendResize(leaseHolder, resize, leaseHolder.report);
        }
    }

    private void sendResize(LeaseHolder leaseHolder, ScaleOutDecision.Resize resize, ProviderReport report) {
        ResizeRequest request = resize.request();
        double requestedAtMillis = nowMillis;
        resizeRequests++;
        inTransit.add(() -> {
            int version = bug == Bug.VERSION_NOT_CHECKED ? provider.version("red") : Integer.parseInt(report.etag());
            ProviderModel.ResizeResult outcome = provider.resize(
                    "red",
                    request.size(),
                    request.idempotencyKey(),
                    version,
                    leaseHolder.fence,
                    bug == Bug.LATE_RESIZE_ACCEPTED ? Long.MAX_VALUE : resize.notAfterMillis(),
                    wallMillis + providerClockOffsetMillis);
            if (outcome == ProviderModel.ResizeResult.APPLIED) {
                sendReport(leaseHolder, currentReport(), requestedAtMillis);
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

    private void sendReport(LeaseHolder leaseHolder, ProviderReport report, double requestedAtMillis) {
        inTransit.add(() -> {
            leaseHolder.requestInFlight = false;
            boolean datedAtArrival = bug == Bug.OLD_REPORT_TRUSTED;
            ProviderReport received = new ProviderReport(
                    report.desiredSize(),
                    report.etag(),
                    report.charges(),
                    report.providerTimeMillis(),
                    datedAtArrival ? nowMillis : requestedAtMillis);
            if (leaseHolder.report == null || received.requestedAtMillis() >= leaseHolder.report.requestedAtMillis()) {
                leaseHolder.report = received;
            }
        });
    }

    /** Delivers a random message in transit. If {@code faults} is positive, the message may be lost or duplicated. */
    private void deliverOne(int faults) {
        if (inTransit.isEmpty()) {
            return;
        }
        PendingMessage message = inTransit.remove(random.nextInt(inTransit.size()));
        if (faults > 0 && random.nextInt(8) == 0) {
            // The message is lost, and the sender's timeout expires.
            holder.requestInFlight = false;
            return;
        }
        if (faults > 0 && random.nextInt(8) == 0) {
            inTransit.add(message);
        }
        message.deliver();
    }
}
