package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.stubs.EndpointModel;
import org.HdrHistogram.Histogram;

/**
 * How evenly work lies on the runners, from samples of them all and from the times at which attempts came.
 * Pure; one thread samples, others tell of arrivals.
 */
final class LoadBalanceStats {
    /** Milliseconds between two samples. */
    static final double EACH = 50;

    private static final double THOUSAND = 1000;
    private static final int LOAD_MOST = 1_000_000;
    /** A herd is more than twice the fair arrivals, and at least so many. */
    private static final int HERD_LEAST = 3;

    /** One sample: the load of each runner at a time; NaN where it is down. */
    record Sample(double at, double[] loads) {}

    private final List<EndpointModel> runners;
    private final double meanWork;
    private final List<Sample> samples = new ArrayList<>();
    private final Map<EndpointModel, double[]> arrivals = new LinkedHashMap<>();
    private final Map<EndpointModel, Integer> counts = new LinkedHashMap<>();
    /** Load of each runner at each sample, in thousandths of its slots. */
    private final Histogram loads = new Histogram(LOAD_MOST, 3);

    private boolean refused;
    private long runnerSamples;
    private long idle;
    private double cvSum;
    private long cvCount;

    /** @param runners may grow while this is used; @param meanWork of a job, in slot milliseconds */
    LoadBalanceStats(List<EndpointModel> runners, double meanWork) {
        this.runners = runners;
        this.meanWork = meanWork;
    }

    /** An attempt has come to a runner. */
    synchronized void arrived(EndpointModel runner, double now) {
        int n = counts.merge(runner, 1, Integer::sum);
        double[] times = arrivals.getOrDefault(runner, new double[64]);
        if (n > times.length) {
            times = Arrays.copyOf(times, 2 * n);
        }
        times[n - 1] = now;
        arrivals.put(runner, times);
    }

    /** Something was turned away, by a runner or by a dispatcher. */
    synchronized void refused() {
        refused = true;
    }

    /** Looks at all runners. */
    synchronized void sample(double now) {
        boolean waits = refused;
        refused = false;
        List<EndpointModel> serving =
                runners.stream().filter(EndpointModel::acceptsRequests).toList();
        double[] all = new double[runners.size()];
        double sum = 0;
        double squares = 0;
        for (int i = 0; i < all.length; i++) {
            EndpointModel r = runners.get(i);
            all[i] = r.isUp() ? r.load() : Double.NaN;
        }
        for (EndpointModel r : serving) {
            // By speed: one that is twice as fast carries twice the jobs in the same time.
            double load = r.load();
            waits |= r.queuedCount() > 0;
            sum += load;
            squares += load * load;
            loads.recordValue(Math.min(LOAD_MOST, Math.round(load * THOUSAND)));
        }
        samples.add(new Sample(now, all));
        runnerSamples += serving.size();
        if (waits) {
            idle += serving.stream().filter(r -> r.load() == 0).count();
        }
        if (sum > 0) {
            double mean = sum / serving.size();
            cvSum += Math.sqrt(Math.max(0, squares / serving.size() - mean * mean)) / mean;
            cvCount++;
        }
    }

    synchronized List<Sample> samples() {
        return List.copyOf(samples);
    }

    Histogram loads() {
        return loads;
    }

    /** Windows of a runner's own service time in which it got more than twice its fair arrivals. */
    synchronized int herds() {
        double total = counts.values().stream().mapToInt(n -> n).sum();
        double capacity = runners.stream().mapToDouble(r -> r.slots * r.speed).sum();
        double from = Double.MAX_VALUE;
        double to = 0;
        for (Map.Entry<EndpointModel, double[]> e : arrivals.entrySet()) {
            from = Math.min(from, e.getValue()[0]);
            to = Math.max(to, e.getValue()[counts.get(e.getKey()) - 1]);
        }
        int herds = 0;
        for (Map.Entry<EndpointModel, double[]> e : arrivals.entrySet()) {
            EndpointModel r = e.getKey();
            double window = meanWork / r.speed;
            double fair = total * r.slots * r.speed / capacity * window / Math.max(1, to - from);
            int n = counts.get(r);
            for (int i = 0; i < n; ) {
                int first = i;
                while (i < n && e.getValue()[i] < e.getValue()[first] + window) {
                    i++;
                }
                herds += i - first >= HERD_LEAST && i - first > 2 * fair ? 1 : 0;
            }
        }
        return herds;
    }

    /** The measures, by the names that the page explains. */
    synchronized Map<String, Double> figures() {
        Map<String, Double> f = new LinkedHashMap<>();
        f.put("load_cv", cvCount == 0 ? 0 : cvSum / cvCount);
        f.put("load_p99", loads.getValueAtPercentile(99) / THOUSAND);
        f.put("load_worst", loads.getMaxValue() / THOUSAND);
        f.put("idle_while_waiting", runnerSamples == 0 ? 0 : idle / (double) runnerSamples);
        f.put("herds", (double) herds());
        return f;
    }
}
