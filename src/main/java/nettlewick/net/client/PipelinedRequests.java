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
 * that wait behind the one in flight. Counts their bytes against a budget. Runs on the event loop.
 */
final class PipelinedRequests {
    /** A complete request. */
    record CompleteRequest(HttpRequest head, ByteBuf body, double arrivedAt) {}

    private final RequestByteBudget budget;
    private final Deque<CompleteRequest> complete = new ArrayDeque<>();
    /** Head and body of the request being read; null while there is none. */
    private HttpRequest head;

    private ByteBuf body;
    private int bufferedBytes;

    PipelinedRequests(RequestByteBudget budget) {
        this.budget = budget;
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
        body = Unpooled.buffer(Math.max(0, (int) HttpUtil.getContentLength(request, 0L)));
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
        bufferedBytes += length;
        if (!budget.reserve(length) && problem == null) {
            problem = new FramingValidator.Rejection(503, "too much is being sent at once");
        }
        if (problem != null) {
            return problem;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            complete.addLast(new CompleteRequest(head, body, receivedAt.getAsDouble()));
            head = null;
            body = null;
        }
        return null;
    }

    /** Takes the first complete request out. */
    CompleteRequest poll() {
        CompleteRequest next = complete.pollFirst();
        release(next.body().readableBytes());
        return next;
    }

    /** Drops the request being read; its bytes stay counted until {@link #clear}. */
    void abandonUnfinished() {
        head = null;
        body = null;
    }

    /** Drops all requests. */
    void clear() {
        release(bufferedBytes);
        complete.clear();
        abandonUnfinished();
    }

    private void release(int bytes) {
        bufferedBytes -= bytes;
        budget.release(bytes);
    }
}
