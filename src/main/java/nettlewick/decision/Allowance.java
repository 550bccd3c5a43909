package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.SchedulerSettings.Tenant;

/** The allowance: the slice that a dispatcher owns, when it binds, and how tenants are dealt credit of it. */
abstract class Allowance extends Exchange {
    /** Jobs over which rates are measured where fewer than half of them come in a Δ. */
    static final double MEASURED_JOBS = 20;
    /** Least slice, in mean jobs for each Δ. */
    static final double FLOOR = 0.1;
    /** What a binding slice may be above the rate it serves, and grows each Δ while it serves all. */
    static final double GROWTH = 0.1;

    final Map<String, TenantCredit> tenants = new HashMap<>();
    final List<TenantCredit> tenures = new ArrayList<>();
    double arrivals;
    /** Danger: started into a full fleet, a slice that binds at once would stay at its floor for good. */
    boolean untried = true;

    long deltaAt, creditAt;

    Allowance(SchedulerSettings settings, long seed) {
        super(settings, seed);
        double parts = settings.tenants().stream().mapToDouble(Tenant::fraction).sum();
        for (Tenant t : settings.tenants()) {
            TenantCredit tenure = new TenantCredit(
                    parts > 0 ? t.fraction() / parts : 1.0 / settings.tenants().size());
            tenants.put(t.name(), tenure);
            tenures.add(tenure);
        }
        if (tenures.isEmpty()) {
            tenures.add(new TenantCredit(1));
        }
    }

    long retryAfter(ScheduledRequest request) {
        double wait = (meanCost.value - request.tenantCredit.credit)
                / Math.max(slice * request.tenantCredit.weight, 1e-9)
                * 1e9;
        return (long) Math.min(settings.limits().maxRetryAfter(), Math.max(DELTA, wait));
    }

    /** Deals the slice's credit out in proportion to the quanta; what a full tenant leaves, others take. */
    void credit() {
        double left = slice * (now - creditAt) / 1e9;
        creditAt = now;
        for (int round = 0; round < 3 && left > 1e-12; round++) {
            double weights = 0;
            for (TenantCredit t : tenures) {
                weights += t.credit < depth(t) ? t.weight : 0;
            }
            if (weights <= 0) {
                return;
            }
            double dealt = 0;
            for (TenantCredit t : tenures) {
                if (t.credit < depth(t)) {
                    double part = Math.min(depth(t) - t.credit, left * t.weight / weights);
                    t.credit += part;
                    dealt += part;
                }
            }
            left -= dealt;
        }
        if (!binding || untried) {
            tenures.forEach(t -> t.credit = Math.max(t.credit, depth(t) / 2));
        }
    }

    double depth(TenantCredit t) {
        return Math.max(2 * meanCost.value, slice * t.weight * DELTA / 2e9);
    }

    /** The slice binds while a fresh answer exists and none shows free slots. */
    void bind() {
        boolean fresh = false;
        boolean free = false;
        for (Endpoint endpoint : shared(watched)) {
            if (endpoint.isReady && now - endpoint.reportedAt <= DELTA) {
                fresh = true;
                free |= left(endpoint) - endpoint.inFlightSlots >= 1;
            }
        }
        credit();
        binding = fresh && !free;
    }

    /** Every Δ: demands, fair share, residual and augmented share, then transfers with the ring. */
    void share() {
        credit();
        double seconds = DELTA / 1e9;
        for (TenantCredit t : tenures) {
            t.demand += (t.offered / seconds - t.demand) / 2;
            t.offered = 0;
        }
        // A dispatcher that sees few jobs measures over more of them.
        double gain = Math.min(0.5, Math.max(0.1, arrivals / MEASURED_JOBS));
        arrivals = 0;
        double floor = FLOOR * meanCost.value / seconds;
        servedRate += gain * (served / seconds - servedRate);
        triedRate += gain * (accepted / seconds - triedRate);
        acceptedRate += gain * (Math.max(0, accepted - lost) / seconds - acceptedRate);
        if (!binding || untried) {
            slice = Math.max(floor, acceptedRate);
            untried = acceptedRate <= 0;
        } else {
            // Exception to the pinned sum: capacity changes while slices bind. A slice is cut to what it
            // serves of what it tries, and tries a little more where it serves all.
            boolean all = servedRate >= (1 - GROWTH) * triedRate;
            double cut = Math.max((1 + GROWTH) * servedRate, (1 - 3 * GROWTH) * slice);
            slice = Math.max(floor, all ? slice * (1 + GROWTH) : Math.min(slice, cut));
        }
        accepted = 0;
        lost = 0;
        served = 0;
        double fair = TenantCredit.fairShare(tenures, slice);
        augmented = fair + ALPHA * Math.max(0, slice - TenantCredit.totalCarried(tenures, fair));
        exchange(floor);
    }
}
