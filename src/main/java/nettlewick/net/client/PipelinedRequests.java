package nettlewick.net.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * The requests of one connection that are not passed to the server yet: the one being read, and the complete ones
 * that wait behind the one in flight. Counts their bytes, and those of the one in flight, against a budget. Runs on the
 * event loop.
 */
final class PipelinedRequests {
    /** A complete request. */
    record CompleteRequest(HttpRequest head, ByteBuf body, double arrivedAt) {}

    /** Capacity that is allocated before any byte of a body has come; more is allocated as it comes. */
    private static final int MAX_INITIAL_BODY_CAPACITY = 4096;

    private final RequestByteBudget budget;
    private final Runnable rejectUnfinished;
    private final Deque<CompleteRequest> complete = new ArrayDeque<>();
    /** Head and body of the request being read; null while there is none. */
    private HttpRequest head;

    private ByteBuf body;
    /** Bytes that are counted against the budget, those in flight included. */
    private int reservedBytes;

    private int inFlightBytes;

    /**
     * @param rejectUnfinished rejects the request that is being read; called when the budget is exceeded and it is the
     *     oldest unfinished one
     */
    PipelinedRequests(RequestByteBudget budget, Runnable rejectUnfinished) {
        this.budget = budget;
        this.rejectUnfinished = rejectUnfinished;
    }

    /** Whether a request is being read. */
    boolean isReading() {
        return head != null;
    }

    /** How many complete requests wait. */
    int waiting() {
        return complete.size();
    }

    /** Whether no request is being read and none waits. */
    boolean isEmpty() {
        return complete.isEmpty() && head == null;
    }

    /** Begins to read a request whose head is valid. */
    void begin(HttpRequest request) {
        head = request;
        budget.addUnfinished(rejectUnfinished);
        long contentLength = Math.max(0, HttpUtil.getContentLength(request, 0L));
        body = Unpooled.buffer((int) Math.min(contentLength, MAX_INITIAL_BODY_CAPACITY));
    }

    /**
     * Adds content to the request being read.
     *
     * @param receivedAt the earliest time at which the content may have arrived
     * @return why the request is to be rejected; null if it is not
     */
    FramingValidator.Rejection add(HttpContent content, DoubleSupplier receivedAt) {
        FramingValidator.Rejection problem = FramingValidator.validate(content.decoderResult());
        int length = content.content().readableBytes();
        if (problem == null && body.readableBytes() + length > FramingValidator.MAX_BODY_BYTES) {
            problem = FramingValidator.bodyTooLong();
        }
        if (problem != null) {
            return problem;
        }
        body.writeBytes(content.content());
        reservedBytes += length;
        boolean isWithinBudget = budget.reserve(length);
        if (!isReading()) {
            // It was the oldest of the requests that exceeded the budget.
            return null;
        }
        if (!isWithinBudget) {
            return new FramingValidator.Rejection(503, "too much is being sent at once");
        }
        if (content instanceof LastHttpContent) {
            complete.addLast(new CompleteRequest(head, body, receivedAt.getAsDouble()));
            stopReading();
        }
        return null;
    }

    /** Takes the first complete request out; its bytes stay counted until {@link #answered}. */
    CompleteRequest poll() {
        CompleteRequest next = complete.pollFirst();
        inFlightBytes = next.body().readableBytes();
        return next;
    }

    /** The response to the request that was taken out is written. */
    void answered() {
        release(inFlightBytes);
        inFlightBytes = 0;
    }

    /** Drops the request being read. */
    void abandonUnfinished() {
        if (isReading()) {
            release(body.readableBytes());
            stopReading();
        }
    }

    private void stopReading() {
        head = null;
        body = null;
        budget.removeUnfinished(rejectUnfinished);
    }

    /** Drops all requests. */
    void clear() {
        abandonUnfinished();
        release(reservedBytes);
        inFlightBytes = 0;
        complete.clear();
    }

    private void release(int bytes) {
        reservedBytes -= bytes;
        budget.release(bytes);
    }
}
