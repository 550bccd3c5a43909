package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.stubs.EndpointModel;
import org.HdrHistogram.Histogram;

/**
 * Measures how evenly the load is spread over the endpoints, from samples of their load and from the arrival times of
 * attempts. Performs no I/O; one thread samples, others report arrivals.
 */
final class LoadBalanceStats {
    static final double SAMPLE_INTERVAL_MILLIS = 50;

    private static final double PER_MILLE = 1000;
    private static final int MAX_LOAD_PER_MILLE = 1_000_000;
    /** A herd is more than twice the fair number of arrivals in a window, and at least this many. */
    private static final int MIN_HERD_ARRIVALS = 3;

    /** The load of each endpoint at a time; NaN if it is down. */
    record Sample(double at, double[] loads) {}

    private final List<EndpointModel> endpoints;
    private final double meanWorkMillis;
    private final List<Sample> samples = new ArrayList<>();
    private final Map<EndpointModel, double[]> arrivals = new LinkedHashMap<>();
    private final Map<EndpointModel, Integer> arrivalCounts = new LinkedHashMap<>();
    /** Load of each endpoint at each sample, in thousandths of its slots. */
    private final Histogram loads = new Histogram(MAX_LOAD_PER_MILLE, 3);

    private boolean rejected;
    private long endpointSamples;
    private long idleSamples;
    private double variationSum;
    private long variationCount;

    /**
     * @param endpoints may grow while this object is used
     * @param meanWork mean work of a request, in slot milliseconds
     */
    LoadBalanceStats(List<EndpointModel> endpoints, double meanWorkMillis) {
        this.endpoints = endpoints;
        this.meanWorkMillis = meanWorkMillis;
    }

    /** Records an attempt that arrived at an endpoint. */
    synchronized void arrived(EndpointModel endpoint, double now) {
        int count = arrivalCounts.merge(endpoint, 1, Integer::sum);
        double[] times = arrivals.getOrDefault(endpoint, new double[64]);
        if (count > times.length) {
            times = Arrays.copyOf(times, 2 * count);
        }
        times[count - 1] = now;
        arrivals.put(endpoint, times);
    }

    /** Records a rejection by an endpoint or a dispatcher. */
    synchronized void rejected() {
        rejected = true;
    }

    /** Samples the load of all endpoints. */
    synchronized void sample(double now) {
        boolean hasWaiting = rejected;
        rejected = false;
        List<EndpointModel> serving =
                endpoints.stream().filter(EndpointModel::acceptsRequests).toList();
        double[] allLoads = new double[endpoints.size()];
        double sum = 0;
        double squares = 0;
        for (int i = 0; i < allLoads.length; i++) {
            EndpointModel endpoint = endpoints.get(i);
            allLoads[i] = endpoint.isUp() ? endpoint.load() : Double.NaN;
        }
        for (EndpointModel endpoint : serving) {
            // Loads are comparable across speeds: an endpoint of twice the speed serves twice the requests in the
            // same time.
            double load = endpoint.load();
            hasWaiting |= endpoint.queuedCount() > 0;
            sum += load;
            squares += load * load;
            loads.recordValue(Math.min(MAX_LOAD_PER_MILLE, Math.round(load * PER_MILLE)));
        }
        samples.add(new Sample(now, allLoads));
        endpointSamples += serving.size();
        if (hasWaiting) {
            idleSamples +=
                    serving.stream().filter(endpoint -> endpoint.load() == 0).count();
        }
        if (sum > 0) {
            double mean = sum / serving.size();
            variationSum += Math.sqrt(Math.max(0, squares / serving.size() - mean * mean)) / mean;
            variationCount++;
        }
    }

    synchronized List<Sample> samples() {
        return List.copyOf(samples);
    }

    Histogram loads() {
        return loads;
    }

    /**
     * Returns the number of windows, each as long as the mean service time of its endpoint, in which that endpoint
     * received more than twice its fair number of arrivals.
     */
    synchronized int countHerds() {
        double total = arrivalCounts.values().stream().mapToInt(count -> count).sum();
        double capacity = endpoints.stream()
                .mapToDouble(endpoint -> endpoint.slots * endpoint.speed)
                .sum();
        double from = Double.MAX_VALUE;
        double to = 0;
        for (Map.Entry<EndpointModel, double[]> entry : arrivals.entrySet()) {
            from = Math.min(from, entry.getValue()[0]);
            to = Math.max(to, entry.getValue()[arrivalCounts.get(entry.getKey()) - 1]);
        }
        int herdCount = 0;
        for (Map.Entry<EndpointModel, double[]> entry : arrivals.entrySet()) {
            EndpointModel endpoint = entry.getKey();
            double window = meanWorkMillis / endpoint.speed;
            double fair = total * endpoint.slots * endpoint.speed / capacity * window / Math.max(1, to - from);
            int count = arrivalCounts.get(endpoint);
            for (int i = 0; i < count; ) {
                int first = i;
                while (i < count && entry.getValue()[i] < entry.getValue()[first] + window) {
                    i++;
                }
                herdCount += i - first >= MIN_HERD_ARRIVALS && i - first > 2 * fair ? 1 : 0;
            }
        }
        return herdCount;
    }

    /** Returns the figures by their documented names. */
    synchronized Map<String, Double> figures() {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("load_cv", variationCount == 0 ? 0 : variationSum / variationCount);
        figures.put("load_p99", loads.getValueAtPercentile(99) / PER_MILLE);
        figures.put("load_worst", loads.getMaxValue() / PER_MILLE);
        figures.put("idle_while_waiting", endpointSamples == 0 ? 0 : idleSamples / (double) endpointSamples);
        figures.put("herds", (double) countHerds());
        return figures;
    }
}
