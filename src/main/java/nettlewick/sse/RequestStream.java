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
 * The events of one request: the latest progress and, exactly once, the final event. Subscribers come and go without
 * effect on the request. All of it lives on the event loop; calls from the core are moved there.
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
    /** Null where the request was never submitted. */
    private Request request;

    private Metrics.RequestTracker ticket;
    private UsageRecorder.DeliveryCallback pendingReceipt = UsageRecorder.DeliveryCallback.NONE;

    /**
     * @param eventLoop runs a task on the event loop
     * @param onEnd     called once, when the final event is known
     */
    RequestStream(String requestClass, String tenant, Consumer<Runnable> eventLoop, Consumer<RequestStream> onEnd) {
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.eventLoop = eventLoop;
        this.onEnd = onEnd;
    }

    /** Sets the request that is about to be submitted, and what counts its end. */
    void setRequest(Request submitted, Metrics.RequestTracker endCounter) {
        request = submitted;
        ticket = endCounter;
    }

    Request request() {
        return request;
    }

    boolean isEnded() {
        return finalEvent != null;
    }

    boolean hasSubscribers() {
        return !subscribers.isEmpty();
    }

    /** Whether a request under the same id is this one repeated, not another that happens to have its id. */
    boolean isSameRequest(String otherClass, String otherTenant) {
        return requestClass.equals(otherClass) && Objects.equals(tenant, otherTenant);
    }

    /** Whether a client that has seen this event has seen all there will be. */
    boolean isFullySeen(long lastSeenId) {
        return finalEvent != null && lastSeenId >= finalEvent.id();
    }

    /** Adds a subscriber. Beyond the limit the oldest is closed: it may be left behind by a client that reconnected. */
    void attach(StreamSubscriber subscriber) {
        if (subscribers.size() >= MAX_SUBSCRIBERS) {
            subscribers.remove(0).close();
        }
        subscribers.add(subscriber);
        subscriber.offer(latestProgress);
        subscriber.offer(finalEvent);
    }

    /** Removes a subscriber; true if it was the last one of a request in flight. */
    boolean detach(StreamSubscriber subscriber) {
        return subscribers.remove(subscriber) && subscribers.isEmpty() && finalEvent == null;
    }

    void sendHeartbeats() {
        List.copyOf(subscribers).forEach(StreamSubscriber::sendHeartbeat);
    }

    void closeSubscribers() {
        List.copyOf(subscribers).forEach(StreamSubscriber::close);
    }

    /** Continues the numbering after the event that a client saw last of a stream that is gone. */
    void numberEventsAfter(long id) {
        lastEventId = id;
    }

    /** Characters of its final event; 0 while there is none. */
    int finalEventLength() {
        return finalEvent == null ? 0 : finalEvent.data().length();
    }

    /** Ends the stream from this side, unless it has ended. */
    void fail(String reason) {
        finish(StreamEvent.failed(lastEventId + 1, reason));
    }

    private void finish(StreamEvent event) {
        if (finalEvent != null) {
            return;
        }
        finalEvent = event;
        lastEventId = event.id();
        // Copied, since a subscriber may leave while it is offered its final event.
        List.copyOf(subscribers).forEach(s -> s.offer(event));
        onEnd.accept(this);
        if (ticket != null) {
            countEnd();
        }
    }

    /** A failure that nobody waited for any more does not count. */
    private void countEnd() {
        ticket.setDeliveryCallback(pendingReceipt);
        switch (finalEvent.type()) {
            case RESULT -> ticket.markAnswered(Metrics.RequestEnd.SERVED);
            case REJECTED -> ticket.markAnswered(Metrics.RequestEnd.REJECTED);
            default -> {
                if (hasSubscribers()) {
                    ticket.markAnswered(Metrics.RequestEnd.FAILED);
                } else {
                    ticket.markAbandoned();
                }
            }
        }
    }

    @Override
    public void setDeliveryCallback(UsageRecorder.DeliveryCallback receipt) {
        eventLoop.accept(() -> {
            if (finalEvent == null) {
                pendingReceipt = receipt;
            } else {
                receipt.onAbandoned();
            }
        });
    }

    @Override
    public void onProgress(double share) {
        eventLoop.accept(() -> {
            if (finalEvent == null) {
                lastEventId++;
                latestProgress = StreamEvent.progress(lastEventId, share);
                List.copyOf(subscribers).forEach(s -> s.offer(latestProgress));
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
