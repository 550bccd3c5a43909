package nettlewick.core;

import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Metrics for operators. Whoever sees something happen counts it, on any thread; readers get an immutable copy. Counts
 * start with the process, all request classes at 0.
 */
public final class Metrics {
    /** How a request ended for its client. Snapshots hold counts in this order. */
    public enum RequestEnd {
        SERVED("fulfilled"),
        REJECTED("throttled"),
        FAILED("faulted");

        private final String metricName;

        RequestEnd(String metricName) {
            this.metricName = metricName;
        }

        /** Its part of the metric's name that operators read. */
        public String metricName() {
            return metricName;
        }
    }

    /**
     * All metrics at one moment.
     *
     * @param jobs    for each request class a count for each {@link RequestEnd}, in its order
     * @param relayed attempts forwarded to an endpoint in full
     * @param open    requests in flight
     * @param listed  endpoints on the list
     * @param avoided endpoints on the list that get no requests now
     * @param peers   peer datagrams that the decision module discarded, by kind ({@code damaged}, {@code late},
     *                {@code unlisted})
     */
    public record Snapshot(
            Map<String, List<Long>> endsByClass,
            long forwardedAttempts,
            int inFlightRequests,
            int listedEndpoints,
            int ejectedEndpoints,
            Map<String, Long> peerMessageFaults) {}

    private final Map<String, Map<RequestEnd, AtomicLong>> endsByClass = new LinkedHashMap<>();
    private final AtomicLong forwarded = new AtomicLong();
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile int listedEndpoints;
    private volatile int ejectedEndpoints;
    private volatile Map<String, Long> peerMessageFaults = Map.of();

    Metrics(List<String> requestClasses) {
        requestClasses.forEach(name -> endsByClass.put(name, newCounters()));
    }

    private static Map<RequestEnd, AtomicLong> newCounters() {
        Map<RequestEnd, AtomicLong> counters = new EnumMap<>(RequestEnd.class);
        for (RequestEnd end : RequestEnd.values()) {
            counters.put(end, new AtomicLong());
        }
        return counters;
    }

    /** Counts one request from its acceptance to its end; only the first end counts. Confined to one thread. */
    public final class RequestTracker {
        private final String requestClass;
        private UsageRecorder.DeliveryCallback deliveryCallback = UsageRecorder.DeliveryCallback.NONE;
        private boolean ended;

        private RequestTracker(String requestClass) {
            this.requestClass = requestClass;
        }

        /** Sets the receipt that is notified of the end; at once where the request has ended. */
        public void setDeliveryCallback(UsageRecorder.DeliveryCallback callback) {
            if (ended) {
                callback.onAbandoned();
            } else {
                deliveryCallback = callback;
            }
        }

        /** The last byte of the answer is written. */
        public void markAnswered(RequestEnd end) {
            if (markEnded()) {
                countEnd(requestClass, end);
                deliveryCallback.onDelivered();
            }
        }

        /** The client has gone: no answer counts. */
        public void markAbandoned() {
            if (markEnded()) {
                deliveryCallback.onAbandoned();
            }
        }

        private boolean markEnded() {
            boolean first = !ended;
            ended = true;
            if (first) {
                inFlight.decrementAndGet();
            }
            return first;
        }
    }

    /** Counts a request as in flight until its ticket ends. */
    public RequestTracker trackRequest(String requestClass) {
        inFlight.incrementAndGet();
        return new RequestTracker(requestClass);
    }

    /** Counts the end of a request; one of an unknown class is not counted. */
    public void countEnd(String requestClass, RequestEnd end) {
        Map<RequestEnd, AtomicLong> counters = endsByClass.get(requestClass);
        if (counters != null) {
            counters.get(end).incrementAndGet();
        }
    }

    /** Counts an attempt that was written to its endpoint in full. */
    public void countForwarded() {
        forwarded.incrementAndGet();
    }

    /** Sets how many endpoints are on the list, and how many of them get no requests now. */
    void setEndpointCounts(int listed, int ejected) {
        listedEndpoints = listed;
        ejectedEndpoints = ejected;
    }

    /** Sets how many peer datagrams the decision module has discarded since the start, by kind. */
    void setPeerMessageFaults(Map<String, Long> countsByKind) {
        peerMessageFaults = Map.copyOf(countsByKind);
    }

    /** A copy of all metrics now. */
    public Snapshot snapshot() {
        Map<String, List<Long>> ends = new LinkedHashMap<>();
        endsByClass.forEach((name, counters) ->
                ends.put(name, counters.values().stream().map(AtomicLong::get).toList()));
        return new Snapshot(
                Collections.unmodifiableMap(ends),
                forwarded.get(),
                inFlight.get(),
                listedEndpoints,
                ejectedEndpoints,
                peerMessageFaults);
    }
}
