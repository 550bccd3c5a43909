package nettlewick.contention;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import nettlewick.contention.UsageReport.EndpointUsage;
import nettlewick.core.Attempt;
import nettlewick.core.Request;
import nettlewick.core.RequestListener;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.SchedulerSettings.RequestClass;

/**
 * Counts each tenant's requested work and the outcomes of attempts on each endpoint, on one dispatcher, since its
 * incarnation began. Thread-safe.
 */
public final class UsageCounters implements RequestListener {
    /** An attempt that was queued for more than this fraction of its class's latency objective is harmed. */
    private static final double MAX_WAIT_FRACTION = 0.25;
    /** Limits the size of a report, which must fit into a datagram. */
    private static final int MAX_REPORTED_TENANTS = 16;

    private static final int MAX_REPORTED_ENDPOINTS = 32;
    /** Endpoints are replaced with every release; beyond this number, the least recently used one is dropped. */
    private static final int MAX_TRACKED_ENDPOINTS = 1024;

    private static final double NANOS_PER_MILLI = 1e6;
    /** The latency objective of a class that is not in the settings. */
    private static final double NO_OBJECTIVE_MILLIS = 1e9;

    /** Totals of one tenant over all endpoints. */
    private static final class TenantTotals {
        private double requestedWork;
        private double runMillis;
        private double hintedMillis;
    }

    /** Totals of one tenant's attempts on one endpoint. */
    private static final class AttemptTotals {
        private double busyMillis;
        private long endedAttempts;
        private long harmedAttempts;
    }

    /** Totals of one endpoint, by tenant. */
    private static final class EndpointTotals {
        private final Map<String, AttemptTotals> byTenant = new HashMap<>();
        private long lastAttemptSequence;
    }

    /** The mean run time of a request class, used in place of a missing cost hint; 1 ms until a run time is known. */
    private static final class MeanRunTime {
        private static final double DEFAULT_MILLIS = 1;
        private double sumMillis;
        private double count;

        private double millis() {
            return count == 0 ? DEFAULT_MILLIS : sumMillis / count;
        }
    }

    private final Map<String, Double> latencyObjectivesMillis;
    private final Map<String, EndpointTotals> endpoints = new HashMap<>();
    private final Map<String, TenantTotals> tenants = new HashMap<>();
    private final Map<String, MeanRunTime> meanRunTimeByClass = new HashMap<>();
    private long attemptSequence;

    /** Creates counters for requests of these classes. */
    public UsageCounters(List<RequestClass> classes) {
        latencyObjectivesMillis = classes.stream()
                .collect(Collectors.toMap(
                        RequestClass::name,
                        c -> c.latencyObjectiveNanos() / NANOS_PER_MILLI,
                        (first, second) -> first));
    }

    /** The hash that identifies a tenant or an endpoint in reports. */
    static int nameHash(String name) {
        return String.valueOf(name).hashCode();
    }

    @Override
    public synchronized void onRequestAccepted(Request request) {
        // A client's retry of a rejected request does not add to the demand.
        if (!request.isRetry()) {
            double millis = request.costHintMillis() > 0
                    ? request.costHintMillis()
                    : meanRunTimeByClass
                            .getOrDefault(request.requestClass(), new MeanRunTime())
                            .millis();
            totalsOf(request.tenant()).requestedWork += request.slots() * millis;
        }
    }

    private TenantTotals totalsOf(String tenant) {
        return tenants.computeIfAbsent(String.valueOf(tenant), t -> new TenantTotals());
    }

    @Override
    public synchronized void onAttemptEnded(Attempt attempt, AttemptResult result) {
        Request request = attempt.request();
        EndpointTotals endpoint = recordAttemptOn(attempt.endpoint());
        AttemptTotals totals =
                endpoint.byTenant.computeIfAbsent(String.valueOf(request.tenant()), t -> new AttemptTotals());
        totals.busyMillis += attempt.ranMillis() * request.slots();
        if (result == AttemptResult.SERVED && hasStarted(attempt)) {
            recordRunTime(request, attempt.ranMillis());
        }
        boolean harmed = isHarmed(attempt, result);
        if (harmed || result == AttemptResult.SERVED) {
            totals.endedAttempts++;
            totals.harmedAttempts += harmed ? 1 : 0;
        }
    }

    private EndpointTotals recordAttemptOn(String name) {
        EndpointTotals endpoint = endpoints.computeIfAbsent(name, e -> new EndpointTotals());
        endpoint.lastAttemptSequence = ++attemptSequence;
        if (endpoints.size() > MAX_TRACKED_ENDPOINTS) {
            endpoints.remove(Collections.min(
                            endpoints.entrySet(), Comparator.comparingLong(e -> e.getValue().lastAttemptSequence))
                    .getKey());
        }
        return endpoint;
    }

    private void recordRunTime(Request request, double runMillis) {
        MeanRunTime mean = meanRunTimeByClass.computeIfAbsent(request.requestClass(), c -> new MeanRunTime());
        mean.sumMillis += runMillis;
        mean.count++;
        if (request.costHintMillis() > 0) {
            TenantTotals totals = totalsOf(request.tenant());
            totals.runMillis += runMillis;
            totals.hintedMillis += request.costHintMillis();
        }
    }

    private static boolean hasStarted(Attempt attempt) {
        return !Double.isNaN(attempt.queuedMillis());
    }

    /** Whether an attempt was rejected, timed out or was cancelled before it started, or started late. */
    private boolean isHarmed(Attempt attempt, AttemptResult result) {
        if (result == AttemptResult.OVERLOADED) {
            return true;
        }
        if (!hasStarted(attempt)) {
            return result == AttemptResult.TIMEOUT || result == AttemptResult.CANCELLED;
        }
        double objectiveMillis =
                latencyObjectivesMillis.getOrDefault(attempt.request().requestClass(), NO_OBJECTIVE_MILLIS);
        return attempt.queuedMillis() > MAX_WAIT_FRACTION * objectiveMillis;
    }

    /** The report on a tenant, limited to the size of a datagram. */
    UsageReport report(String tenant) {
        return report(tenant, MAX_REPORTED_TENANTS, MAX_REPORTED_ENDPOINTS);
    }

    /** The report on a tenant with the counts of all tenants and endpoints. */
    UsageReport fullReport(String tenant) {
        return report(tenant, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    private synchronized UsageReport report(String tenant, int maxTenants, int maxEndpoints) {
        Map<Integer, Long> work = new LinkedHashMap<>();
        tenants.entrySet().stream()
                .sorted(Comparator.comparingDouble(e -> -e.getValue().requestedWork))
                .limit(maxTenants)
                .forEach(e -> work.put(nameHash(e.getKey()), Math.round(e.getValue().requestedWork)));
        work.computeIfAbsent(nameHash(tenant), t -> Math.round(totalsOf(tenant).requestedWork));
        Map<Integer, EndpointUsage> usage = new LinkedHashMap<>();
        endpoints.entrySet().stream()
                .sorted(Comparator.comparingLong(e -> -e.getValue().lastAttemptSequence))
                .limit(maxEndpoints)
                .forEach(e -> usage.put(nameHash(e.getKey()), usageOf(e.getValue(), tenant)));
        double totalWork =
                tenants.values().stream().mapToDouble(t -> t.requestedWork).sum();
        return new UsageReport(
                Math.round(totalWork),
                work,
                sumOverOthers(tenant, t -> Math.round(t.runMillis)),
                sumOverOthers(tenant, t -> Math.round(t.hintedMillis)),
                usage,
                UncontendedBaseline.NONE,
                false);
    }

    private long sumOverOthers(String tenant, ToLongFunction<TenantTotals> amount) {
        return tenants.entrySet().stream()
                .filter(e -> !e.getKey().equals(tenant))
                .mapToLong(e -> amount.applyAsLong(e.getValue()))
                .sum();
    }

    private static EndpointUsage usageOf(EndpointTotals endpoint, String tenant) {
        double tenantWork = 0;
        double totalWork = 0;
        long otherAttempts = 0;
        long harmedAttempts = 0;
        for (Map.Entry<String, AttemptTotals> entry : endpoint.byTenant.entrySet()) {
            AttemptTotals totals = entry.getValue();
            totalWork += totals.busyMillis;
            if (entry.getKey().equals(tenant)) {
                tenantWork += totals.busyMillis;
            } else {
                otherAttempts += totals.endedAttempts;
                harmedAttempts += totals.harmedAttempts;
            }
        }
        return new EndpointUsage((long) tenantWork, (long) totalWork, otherAttempts, harmedAttempts);
    }
}
