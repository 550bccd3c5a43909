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
    private static final int READERS_MOST = 4;

    private final String jobClass;
    private final String tenant;
    private final Consumer<Runnable> loop;
    private final Consumer<RequestStream> onEnd;
    private final List<StreamSubscriber> readers = new ArrayList<>(1);
    private long lastId;
    private StreamEvent progress;
    private StreamEvent end;
    private Request request;
    private UsageRecorder.Receipt owed = UsageRecorder.Receipt.NONE;

    RequestStream(String requestClass, String tenant, Consumer<Runnable> loop, Consumer<RequestStream> onEnd) {
        this.jobClass = requestClass;
        this.tenant = tenant;
        this.loop = loop;
        this.onEnd = onEnd;
    }

    void is(Request of) {
        request = of;
    }

    Request request() {
        return request;
    }

    boolean ended() {
        return end != null;
    }

    boolean watched() {
        return !readers.isEmpty();
    }

    /** Whether a request under the same id is the same job, not another tenant's that hit on its id. */
    boolean same(String otherClass, String otherTenant) {
        return jobClass.equals(otherClass) && java.util.Objects.equals(tenant, otherTenant);
    }

    /** Whether a client that has seen this event has seen all. */
    boolean allSeen(long after) {
        return end != null && after >= end.id();
    }

    void attach(StreamSubscriber reader) {
        if (readers.size() >= READERS_MOST) {
            // The connection that a reconnecting client left behind may look open for long.
            StreamSubscriber oldest = readers.remove(0);
            oldest.close();
        }
        readers.add(reader);
        reader.offer(progress);
        reader.offer(end);
    }

    /** Takes a reader off; true if it was the last one of a job that still runs. */
    boolean detach(StreamSubscriber reader) {
        return readers.remove(reader) && readers.isEmpty() && end == null;
    }

    void heartbeat() {
        List.copyOf(readers).forEach(StreamSubscriber::heartbeat);
    }

    void closeReaders() {
        List.copyOf(readers).forEach(StreamSubscriber::close);
    }

    /** Numbers the events from the one that a client saw last in a stream that is gone. */
    void startAfter(long id) {
        lastId = id;
    }

    /** Counts how it ended; one that nobody waited for any more counts nowhere. */
    void count(Metrics.Ticket ticket) {
        ticket.owe(owed);
        switch (end.name()) {
            case "result" -> ticket.answered(Metrics.End.FULFILLED);
            case "unavailable" -> ticket.answered(Metrics.End.THROTTLED);
            default -> {
                if (watched()) {
                    ticket.answered(Metrics.End.FAULTED);
                } else {
                    ticket.left();
                }
            }
        }
    }

    /** Characters of its final event; 0 while there is none. */
    int size() {
        return end == null ? 0 : end.data().length();
    }

    /** Ends the stream from this side; an end that it has already stands. */
    void giveUp(String reason) {
        end(StreamEvent.failed(lastId + 1, reason));
    }

    private void end(StreamEvent event) {
        if (end == null) {
            end = event;
            lastId = event.id();
            // Danger: a reader may leave while it is offered its final event.
            List.copyOf(readers).forEach(r -> r.offer(event));
            onEnd.accept(this);
        }
    }

    @Override
    public void receipt(UsageRecorder.Receipt receipt) {
        loop.accept(() -> {
            if (end == null) {
                owed = receipt;
            } else {
                receipt.left();
            }
        });
    }

    @Override
    public void progress(double share) {
        loop.accept(() -> {
            if (end == null) {
                progress = StreamEvent.progress(++lastId, share);
                List.copyOf(readers).forEach(r -> r.offer(progress));
            }
        });
    }

    @Override
    public void served(byte[] result) {
        loop.accept(() -> end(StreamEvent.result(lastId + 1, new String(result, StandardCharsets.UTF_8))));
    }

    @Override
    public void rejected(double retryAfter) {
        loop.accept(() -> end(StreamEvent.unavailable(lastId + 1, retryAfter)));
    }

    @Override
    public void failed(String reason) {
        loop.accept(() -> end(StreamEvent.failed(lastId + 1, reason)));
    }
}
