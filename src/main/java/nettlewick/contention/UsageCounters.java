package nettlewick.contention;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import nettlewick.core.Attempt;
import nettlewick.core.Request;
import nettlewick.core.RequestListener;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** What this dispatcher sees of its members' work, counted since its life began. Any thread. */
public final class UsageCounters implements RequestListener {
    /** An attempt that begins later than this part of its class's aim was harmed. */
    private static final double MAX_WAIT_FRACTION = 0.25;
    /** So many members, and so many sim runners, those seen last, go into a word. */
    private static final int MAX_REPORTED_TENANTS = 16;

    private static final int MAX_REPORTED_ENDPOINTS = 32;
    /** So many sim runners are remembered: those of months of releases would add up. */
    private static final int MAX_TRACKED_ENDPOINTS = 1024;

    /** Of one member, at one sim runner or in all. */
    private static final class Totals {
        double busyMillis;
        long endedAttempts;
        long harmedAttempts;
        double runMillis;
        double hintedMillis;
        double requestedWork;
    }

    private static final class EndpointTotals {
        final Map<String, Totals> byTenant = new HashMap<>();
        long lastEvent;
    }

    private final Map<String, Double> latencyObjectivesMillis;
    private final Map<String, EndpointTotals> endpoints = new HashMap<>();
    private final Map<String, Totals> tenants = new HashMap<>();
    /** How long a job of a class runs, where no hint tells: the mean of those seen. */
    private final Map<String, double[]> meanRunByClass = new HashMap<>();

    private long events;

    public UsageCounters(List<RequestClass> classes) {
        latencyObjectivesMillis = classes.stream()
                .collect(
                        Collectors.toMap(RequestClass::name, c -> c.latencyObjective() / 1e6, (attempt, b) -> attempt));
    }

    /** Stands for a name in words. */
    static int nameHash(String name) {
        return String.valueOf(name).hashCode();
    }

    @Override
    public synchronized void asked(Request request) {
        if (!request.repeat()) {
            // Danger: what was turned away and comes again would make a refused member look noisy.
            double[] mean = meanRunByClass.getOrDefault(request.requestClass(), new double[] {1, 1});
            totalsOf(request.tenant()).requestedWork +=
                    request.slots() * (request.costHint() > 0 ? request.costHint() : mean[0] / mean[1]);
        }
    }

    private Totals totalsOf(String tenant) {
        return tenants.computeIfAbsent(String.valueOf(tenant), m -> new Totals());
    }

    @Override
    public synchronized void ended(Attempt attempt, AttemptResult result) {
        Request request = attempt.request();
        EndpointTotals at = endpoints.computeIfAbsent(attempt.endpoint(), w -> new EndpointTotals());
        at.lastEvent = ++events;
        if (endpoints.size() > MAX_TRACKED_ENDPOINTS) {
            endpoints.remove(
                    Collections.min(endpoints.entrySet(), Comparator.comparingLong(e -> e.getValue().lastEvent))
                            .getKey());
        }
        Totals tenantTotals = at.byTenant.computeIfAbsent(String.valueOf(request.tenant()), m -> new Totals());
        double runMillis = attempt.ran();
        tenantTotals.busyMillis += runMillis * request.slots();
        boolean started = !Double.isNaN(attempt.waited());
        if (result == AttemptResult.SERVED && started) {
            double[] mean = meanRunByClass.computeIfAbsent(request.requestClass(), c -> new double[2]);
            mean[0] += runMillis;
            mean[1]++;
            if (request.costHint() > 0) {
                Totals totals = totalsOf(request.tenant());
                totals.runMillis += runMillis;
                totals.hintedMillis += request.costHint();
            }
        }
        boolean harmed = result == AttemptResult.OVERLOADED
                || !started && (result == AttemptResult.TIMEOUT || result == AttemptResult.CANCELLED)
                || started
                        && attempt.waited()
                                > MAX_WAIT_FRACTION * latencyObjectivesMillis.getOrDefault(request.requestClass(), 1e9);
        if (harmed || result == AttemptResult.SERVED) {
            tenantTotals.endedAttempts++;
            tenantTotals.harmedAttempts += harmed ? 1 : 0;
        }
    }

    /** What there is to say of this member. */
    UsageReport report(String tenant) {
        return report(tenant, MAX_REPORTED_TENANTS, MAX_REPORTED_ENDPOINTS);
    }

    /** All that was seen of this member. */
    UsageReport fullReport(String tenant) {
        return report(tenant, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    private synchronized UsageReport report(String tenant, int maxTenants, int maxEndpoints) {
        Map<Integer, Long> asked = new LinkedHashMap<>();
        tenants.entrySet().stream()
                .sorted(Comparator.comparingDouble(e -> -e.getValue().requestedWork))
                .limit(maxTenants)
                .forEach(e -> asked.put(nameHash(e.getKey()), Math.round(e.getValue().requestedWork)));
        asked.computeIfAbsent(nameHash(tenant), m -> Math.round(totalsOf(tenant).requestedWork));
        Map<Integer, UsageReport.EndpointUsage> at = new LinkedHashMap<>();
        endpoints.entrySet().stream()
                .sorted(Comparator.comparingLong(e -> -e.getValue().lastEvent))
                .limit(maxEndpoints)
                .forEach(e -> at.put(nameHash(e.getKey()), endpointUsage(e.getValue(), tenant)));
        return new UsageReport(
                Math.round(tenants.values().stream()
                        .mapToDouble(s -> s.requestedWork)
                        .sum()),
                asked,
                sumOverOthers(tenant, s -> Math.round(s.runMillis)),
                sumOverOthers(tenant, s -> Math.round(s.hintedMillis)),
                at,
                UncontendedBaseline.NONE,
                false);
    }

    private long sumOverOthers(String tenant, ToLongFunction<Totals> amount) {
        return tenants.entrySet().stream()
                .filter(e -> !e.getKey().equals(tenant))
                .mapToLong(e -> amount.applyAsLong(e.getValue()))
                .sum();
    }

    private static UsageReport.EndpointUsage endpointUsage(EndpointTotals endpoint, String tenant) {
        double own = 0;
        double totals = 0;
        long others = 0;
        long harmed = 0;
        for (Map.Entry<String, Totals> e : endpoint.byTenant.entrySet()) {
            totals += e.getValue().busyMillis;
            if (e.getKey().equals(tenant)) {
                own += e.getValue().busyMillis;
            } else {
                others += e.getValue().endedAttempts;
                harmed += e.getValue().harmedAttempts;
            }
        }
        return new UsageReport.EndpointUsage((long) own, (long) totals, others, harmed);
    }
}
