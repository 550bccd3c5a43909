package nettlewick.core;

import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Metrics for operators. Thread-safe: events are counted on the thread on which they occur, and readers get an
 * immutable snapshot. Counts start at 0 when the process starts, for all request classes.
 */
public final class Metrics {
    /** How a request ended for its client. Snapshots contain the counts in this order. */
    public enum RequestEnd {
        SERVED("fulfilled"),
        REJECTED("throttled"),
        FAILED("faulted");

        private final String metricName;

        RequestEnd(String metricName) {
            this.metricName = metricName;
        }

        /** The component of the metric name that stands for this end. */
        public String metricName() {
            return metricName;
        }
    }

    /**
     * All metrics at one point in time.
     *
     * @param endsByClass       for each request class the counts of each {@link RequestEnd}, in declaration order
     * @param forwardedAttempts attempts written to an endpoint completely
     * @param inFlightRequests  requests in flight
     * @param listedEndpoints   endpoints on the endpoint list
     * @param ejectedEndpoints  endpoints on the endpoint list that currently get no requests
     * @param peerMessageFaults peer datagrams that the decision module discarded, by kind ({@code damaged},
     *                          {@code late}, {@code unlisted})
     * @param coreBacklog       what the core thread holds
     */
    public record Snapshot(
            Map<String, List<Long>> endsByClass,
            long forwardedAttempts,
            int inFlightRequests,
            int listedEndpoints,
            int ejectedEndpoints,
            Map<String, Long> peerMessageFaults,
            CoreBacklog coreBacklog) {}

    /**
     * What the core thread holds; tells a thread that falls behind from one that keeps finished work.
     *
     * @param queuedTasks     tasks from other threads that wait for the core thread
     * @param scheduledTimers timers that are not due yet
     */
    public record CoreBacklog(int queuedTasks, int scheduledTimers) {}

    private final Map<String, Map<RequestEnd, AtomicLong>> endsByClass = new LinkedHashMap<>();
    private final AtomicLong forwarded = new AtomicLong();
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile int listedEndpoints;
    private volatile int ejectedEndpoints;
    private volatile Map<String, Long> peerMessageFaults = Map.of();
    private volatile CoreBacklog coreBacklog = new CoreBacklog(0, 0);

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

    /** Counts one request as in flight until its end; only the first end counts. Must be used on one thread. */
    public final class RequestTracker {
        private final String requestClass;
        private UsageRecorder.DeliveryCallback deliveryCallback = UsageRecorder.DeliveryCallback.NONE;
        private boolean ended;

        private RequestTracker(String requestClass) {
            this.requestClass = requestClass;
        }

        /** Sets the callback to notify of the end; if the request has ended, it is notified immediately. */
        public void setDeliveryCallback(UsageRecorder.DeliveryCallback callback) {
            if (ended) {
                callback.onAbandoned();
            } else {
                deliveryCallback = callback;
            }
        }

        /** Records that the last byte of the answer was written. */
        public void markAnswered(RequestEnd end) {
            if (markEnded()) {
                countEnd(requestClass, end);
                deliveryCallback.onDelivered();
            }
        }

        /** Records that the client has disconnected; no answer is counted. */
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

    /** Counts a request as in flight until the returned tracker is ended. */
    public RequestTracker trackRequest(String requestClass) {
        inFlight.incrementAndGet();
        return new RequestTracker(requestClass);
    }

    /** Counts the end of a request; ignored if the request class is unknown. */
    public void countEnd(String requestClass, RequestEnd end) {
        Map<RequestEnd, AtomicLong> counters = endsByClass.get(requestClass);
        if (counters != null) {
            counters.get(end).incrementAndGet();
        }
    }

    /** Counts an attempt that was written to its endpoint completely. */
    public void countForwarded() {
        forwarded.incrementAndGet();
    }

    /** Sets the number of endpoints on the endpoint list, and how many of them currently get no requests. */
    void setEndpointCounts(int listed, int ejected) {
        listedEndpoints = listed;
        ejectedEndpoints = ejected;
    }

    /** Sets the number of peer datagrams discarded by the decision module since the process started, by kind. */
    void setPeerMessageFaults(Map<String, Long> countsByKind) {
        peerMessageFaults = Map.copyOf(countsByKind);
    }

    /** Sets what the core thread holds. */
    void setCoreBacklog(CoreBacklog backlog) {
        coreBacklog = backlog;
    }

    /** A copy of all metrics at the current time. */
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
                peerMessageFaults,
                coreBacklog);
    }
}
