package nettlewick.sse;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import nettlewick.core.Metrics;
import nettlewick.core.Request;
import nettlewick.core.UsageRecorder;

/**
 * A job and what clients are told of it: the latest progress and, exactly once, the final event. Readers come
 * and go without the job noticing. Calls from the core are brought to the event loop, where all of it lives.
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
    private Request request;
    private UsageRecorder.Receipt pendingReceipt = UsageRecorder.Receipt.NONE;

    RequestStream(String requestClass, String tenant, Consumer<Runnable> loop, Consumer<RequestStream> onEnd) {
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.eventLoop = loop;
        this.onEnd = onEnd;
    }

    void setRequest(Request of) {
        request = of;
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

    /** Whether a request under the same id is the same job, not another tenant's that hit on its id. */
    boolean isSameRequest(String otherClass, String otherTenant) {
        return requestClass.equals(otherClass) && java.util.Objects.equals(tenant, otherTenant);
    }

    /** Whether a client that has seen this event has seen all. */
    boolean isFullySeen(long after) {
        return finalEvent != null && after >= finalEvent.id();
    }

    void attach(StreamSubscriber reader) {
        if (subscribers.size() >= MAX_SUBSCRIBERS) {
            // The connection that a reconnecting client left behind may look open for long.
            StreamSubscriber oldest = subscribers.remove(0);
            oldest.close();
        }
        subscribers.add(reader);
        reader.offer(latestProgress);
        reader.offer(finalEvent);
    }

    /** Takes a reader off; true if it was the last one of a job that still runs. */
    boolean detach(StreamSubscriber reader) {
        return subscribers.remove(reader) && subscribers.isEmpty() && finalEvent == null;
    }

    void sendHeartbeats() {
        List.copyOf(subscribers).forEach(StreamSubscriber::sendHeartbeat);
    }

    void closeSubscribers() {
        List.copyOf(subscribers).forEach(StreamSubscriber::close);
    }

    /** Numbers the events from the one that a client saw last in a stream that is gone. */
    void numberEventsAfter(long id) {
        lastEventId = id;
    }

    /** Counts how it ended; one that nobody waited for any more counts nowhere. */
    void countEnd(Metrics.Ticket ticket) {
        ticket.owe(pendingReceipt);
        switch (finalEvent.name()) {
            case "result" -> ticket.answered(Metrics.End.FULFILLED);
            case "unavailable" -> ticket.answered(Metrics.End.THROTTLED);
            default -> {
                if (hasSubscribers()) {
                    ticket.answered(Metrics.End.FAULTED);
                } else {
                    ticket.left();
                }
            }
        }
    }

    /** Characters of its final event; 0 while there is none. */
    int finalEventLength() {
        return finalEvent == null ? 0 : finalEvent.data().length();
    }

    /** Ends the stream from this side; an end that it has already stands. */
    void fail(String reason) {
        finish(StreamEvent.failed(lastEventId + 1, reason));
    }

    private void finish(StreamEvent event) {
        if (finalEvent == null) {
            finalEvent = event;
            lastEventId = event.id();
            // Danger: a reader may leave while it is offered its final event.
            List.copyOf(subscribers).forEach(r -> r.offer(event));
            onEnd.accept(this);
        }
    }

    @Override
    public void receipt(UsageRecorder.Receipt receipt) {
        eventLoop.accept(() -> {
            if (finalEvent == null) {
                pendingReceipt = receipt;
            } else {
                receipt.left();
            }
        });
    }

    @Override
    public void progress(double share) {
        eventLoop.accept(() -> {
            if (finalEvent == null) {
                latestProgress = StreamEvent.progress(++lastEventId, share);
                List.copyOf(subscribers).forEach(r -> r.offer(latestProgress));
            }
        });
    }

    @Override
    public void served(byte[] result) {
        eventLoop.accept(() -> finish(StreamEvent.result(lastEventId + 1, new String(result, StandardCharsets.UTF_8))));
    }

    @Override
    public void rejected(double retryAfter) {
        eventLoop.accept(() -> finish(StreamEvent.unavailable(lastEventId + 1, retryAfter)));
    }

    @Override
    public void failed(String reason) {
        eventLoop.accept(() -> finish(StreamEvent.failed(lastEventId + 1, reason)));
    }
}
