package nettlewick.sse;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import nettlewick.core.Metrics;
import nettlewick.core.Request;
import nettlewick.core.UsageRecorder;

/**
 * The events of one request: the latest progress and, exactly once, the final event. Subscribers may attach and detach
 * without effect on the request. Confined to the event loop, to which calls from the core are dispatched.
 */
final class RequestStream implements Request.Caller {
    private static final int MAX_SUBSCRIBERS = 4;

    private final String requestClass;
    private final String tenant;
    private final Consumer<Runnable> eventLoop;
    private final Consumer<RequestStream> onEnd;
    private final List<StreamSubscriber> subscribers = new ArrayList<>(1);
    private long lastEventId;
    private StreamEvent latestProgress;
    private StreamEvent finalEvent;
    /** Null if the request was never submitted, and after the final event: a finished stream needs no body. */
    private Request request;

    private Metrics.RequestTracker requestTracker;
    private UsageRecorder.DeliveryCallback deliveryCallback = UsageRecorder.DeliveryCallback.NONE;

    /**
     * @param eventLoop runs a task on the event loop
     * @param onEnd     called once, when the stream has its final event
     */
    RequestStream(String requestClass, String tenant, Consumer<Runnable> eventLoop, Consumer<RequestStream> onEnd) {
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.eventLoop = eventLoop;
        this.onEnd = onEnd;
    }

    /** Sets the request that is about to be submitted, and the tracker that counts its end. */
    void setRequest(Request submitted, Metrics.RequestTracker tracker) {
        request = submitted;
        requestTracker = tracker;
    }

    /** The request, while it is in flight; otherwise null. */
    Request request() {
        return request;
    }

    boolean isEnded() {
        return finalEvent != null;
    }

    boolean hasSubscribers() {
        return !subscribers.isEmpty();
    }

    /** Whether a request with the same id repeats this one, rather than being a different one that reuses the id. */
    boolean isSameRequest(String otherClass, String otherTenant) {
        return requestClass.equals(otherClass) && Objects.equals(tenant, otherTenant);
    }

    /** Whether a client whose last seen event has this id has seen all events of a finished stream. */
    boolean isFullySeen(long lastSeenId) {
        return finalEvent != null && lastSeenId >= finalEvent.id();
    }

    /** Adds a subscriber. At the limit it closes the oldest one, which a reconnected client may have left behind. */
    void attach(StreamSubscriber subscriber) {
        if (subscribers.size() >= MAX_SUBSCRIBERS) {
            subscribers.remove(0).close();
        }
        subscribers.add(subscriber);
        subscriber.offer(latestProgress);
        subscriber.offer(finalEvent);
    }

    /** Removes a subscriber; returns true if it was the last one and the request is still in flight. */
    boolean detach(StreamSubscriber subscriber) {
        return subscribers.remove(subscriber) && subscribers.isEmpty() && finalEvent == null;
    }

    void sendHeartbeats() {
        List.copyOf(subscribers).forEach(StreamSubscriber::sendHeartbeat);
    }

    void closeSubscribers() {
        List.copyOf(subscribers).forEach(StreamSubscriber::close);
    }

    /** Continues the event ids after the last event that a client saw of a stream that no longer exists. */
    void numberEventsAfter(long id) {
        lastEventId = id;
    }

    /** The number of characters of the final event's data; 0 while there is none. */
    int finalEventLength() {
        return finalEvent == null ? 0 : finalEvent.data().length();
    }

    /** Ends the stream with a failure, unless it has ended already. */
    void fail(String reason) {
        finish(StreamEvent.failed(lastEventId + 1, reason));
    }

    private void finish(StreamEvent event) {
        if (finalEvent != null) {
            return;
        }
        finalEvent = event;
        lastEventId = event.id();
        request = null;
        // Iterates over a copy, since a subscriber may leave while it is offered the final event.
        List.copyOf(subscribers).forEach(subscriber -> subscriber.offer(event));
        onEnd.accept(this);
        if (requestTracker != null) {
            countEnd();
        }
    }

    /** Counts the end of the request. A failure without subscribers counts as abandoned, not as failed. */
    private void countEnd() {
        requestTracker.setDeliveryCallback(deliveryCallback);
        switch (finalEvent.type()) {
            case RESULT -> requestTracker.markAnswered(Metrics.RequestEnd.SERVED);
            case REJECTED -> requestTracker.markAnswered(Metrics.RequestEnd.REJECTED);
            default -> {
                if (hasSubscribers()) {
                    requestTracker.markAnswered(Metrics.RequestEnd.FAILED);
                } else {
                    requestTracker.markAbandoned();
                }
            }
        }
    }

    @Override
    public void setDeliveryCallback(UsageRecorder.DeliveryCallback callback) {
        eventLoop.accept(() -> {
            if (finalEvent == null) {
                deliveryCallback = callback;
            } else {
                callback.onAbandoned();
            }
        });
    }

    @Override
    public void onProgress(double share) {
        eventLoop.accept(() -> {
            if (finalEvent == null) {
                lastEventId++;
                latestProgress = StreamEvent.progress(lastEventId, share);
                List.copyOf(subscribers).forEach(subscriber -> subscriber.offer(latestProgress));
            }
        });
    }

    @Override
    public void onServed(byte[] result) {
        eventLoop.accept(() -> {
            String text = new String(result, StandardCharsets.UTF_8);
            finish(StreamEvent.result(lastEventId + 1, text));
        });
    }

    @Override
    public void onRejected(double retryAfterMillis) {
        eventLoop.accept(() -> finish(StreamEvent.rejected(lastEventId + 1, retryAfterMillis)));
    }

    @Override
    public void onFailed(String reason) {
        eventLoop.accept(() -> fail(reason));
    }
}
