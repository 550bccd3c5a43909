package nettlewick.net.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import nettlewick.core.Clock;

/**
 * One client connection. Only complete, well-formed requests reach the server, one at a time; everything else
 * is rejected here, before anything is allocated for it, and what was read before it gets a response first.
 * Ends the connection by a lingering close. Runs on the event loop; its states are those of {@link
 * ClientConnectionState}.
 */
final class ClientConnection extends ChannelDuplexHandler {
    /** Complete requests that may wait behind the one in flight. */
    private static final int MAX_PIPELINED_REQUESTS = 4;
    /** The response to a complete request that precedes a rejected one; harmless to repeat. */
    private static final FramingValidator.Rejection PRECEDES_REJECTED =
            new FramingValidator.Rejection(429, "what came behind it is refused");
    /**
     * Bytes read and discarded after a rejection, so that a reset does not destroy its response. Beyond this nothing is
     * read, and the client cannot send any more.
     */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private static final ByteBuf CONTINUE = Unpooled.unreleasableBuffer(
                    Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", StandardCharsets.US_ASCII))
            .asReadOnly();

    private final Clock clock;
    /** The earliest time at which the bytes read now may have arrived, in milliseconds. */
    private final DoubleSupplier receivedAt;

    private final boolean sendsRetryAfter;
    private final ClientConnectionState state;
    private final PipelinedRequests requests;
    private final UnreadInput unreadInput = new UnreadInput();
    private ChannelHandlerContext context;
    private long discardedBytes;
    /** Bytes of responses that the socket had not accepted at the last check. */
    private long unreadBytes;
    /** Why no more requests are accepted; null while they are. Written once the request in flight is answered. */
    private FramingValidator.Rejection rejection;

    private double arrivedAt;
    private boolean isPostRequest;
    private boolean resultSent;
    private boolean closeAfterResponse;
    /** Whether the client itself asked for the connection to be closed. */
    private boolean clientAskedToClose;

    ClientConnection(Clock clock, RequestByteBudget budget) {
        this(clock, clock::nowMillis, budget, OutputTimeouts.STANDARD, true);
    }

    /**
     * Creates the handler of a new connection.
     *
     * @param receivedAt the earliest time at which the bytes read now may have arrived
     * @param outputTimeouts how long the client may take to read a response
     * @param sendsRetryAfter whether rejections tell clients when to try again
     */
    ClientConnection(
            Clock clock,
            DoubleSupplier receivedAt,
            RequestByteBudget budget,
            OutputTimeouts outputTimeouts,
            boolean sendsRetryAfter) {
        this.clock = clock;
        this.sendsRetryAfter = sendsRetryAfter;
        this.receivedAt = receivedAt;
        requests = new PipelinedRequests(budget, () -> reject(503, "the request came too slowly"));
        state = new ClientConnectionState(clock.nowMillis(), outputTimeouts);
    }

    ClientConnectionState state() {
        return state;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Called for any bytes that arrive. */
    void bytesReceived() {
        unreadInput.bytesReceived();
        state.bytesReceived(clock.nowMillis());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (rejection != null || !state.takesRequests()) {
                discard(message);
                return;
            }
            if (message instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (message instanceof HttpContent content && requests.isReading()) {
                addContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void discard(Object message) {
        unreadInput.bytesReceived();
        discardedBytes += message instanceof ByteBuf bytes
                ? bytes.readableBytes()
                : message instanceof ByteBufHolder holder ? holder.content().readableBytes() : 0;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            // Reading on without limit would take event-loop time from other clients. While a request is in
            // flight, {@link #closeIfOverdue} reads on in portions, since a connection that is not read never
            // shows its close.
            context.channel().config().setAutoRead(false);
        }
    }

    private void beginRequest(HttpRequest request) {
        FramingValidator.Rejection problem = FramingValidator.validate(request);
        if (problem != null) {
            reject(problem.status(), problem.message());
        } else if (requests.waiting() >= MAX_PIPELINED_REQUESTS) {
            reject(429, "too many requests at once on one connection");
        } else {
            requests.begin(request);
            if (HttpUtil.is100ContinueExpected(request)) {
                context.pipeline().firstContext().writeAndFlush(CONTINUE.duplicate());
            }
        }
    }

    private void addContent(HttpContent content) {
        FramingValidator.Rejection problem = requests.add(content, receivedAt);
        if (problem != null) {
            reject(problem.status(), problem.message());
        }
    }

    /** When the last byte of the request in flight arrived, at the earliest; in milliseconds. */
    double arrivedAt() {
        return arrivedAt;
    }

    /**
     * Whether the client is still connected. Its close may have arrived with its request, or while the event
     * loop was busy, and be unread: so the socket is read before this method returns.
     */
    boolean isConnected() {
        unreadInput.readAll(context.channel());
        return context.channel().isActive();
    }

    /**
     * Everything available has been read. Requests passed on sooner would let the first ones of a flood be
     * dispatched.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        startNextRequest();
        ctx.fireChannelReadComplete();
    }

    private void startNextRequest() {
        if (rejection == null && requests.waiting() > 0 && state.beginRequest()) {
            PipelinedRequests.CompleteRequest next = requests.poll();
            arrivedAt = next.arrivedAt();
            clientAskedToClose =
                    next.head().headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
            isPostRequest = HttpMethod.POST.equals(next.head().method());
            context.fireChannelRead(next.head());
            context.fireChannelRead(new DefaultLastHttpContent(next.body()));
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse response) {
            beginResponse(response);
        }
        boolean last = message instanceof LastHttpContent;
        boolean ends = last && closeAfterResponse;
        ChannelPromise done = ends ? promise.unvoid() : promise;
        if (ends) {
            // Before the write: nothing read from here on is accepted.
            state.beginClosing(clock.nowMillis());
            done.addListener(f -> shutDownOutput());
        }
        ctx.write(message, done);
        if (last && !ends) {
            responseWritten(ctx);
        }
    }

    private void beginResponse(HttpResponse response) {
        resultSent = isPostRequest && response.status().code() == HttpResponseStatus.OK.code();
        closeAfterResponse = response.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        boolean more = !requests.isEmpty() || rejection != null;
        if (closeAfterResponse && !clientAskedToClose && more) {
            // Requests the client has already sent are answered first; the last response says that it is the
            // last.
            response.headers().remove(HttpHeaderNames.CONNECTION);
            closeAfterResponse = false;
        }
    }

    /** A response that is not the last one is written: the next request may start. */
    private void responseWritten(ChannelHandlerContext ctx) {
        requests.answered();
        state.responseWritten(clock.nowMillis(), resultSent);
        if (rejection != null) {
            writeRejection();
        } else if (!requests.isEmpty()) {
            state.bytesReceived(clock.nowMillis());
            ctx.executor().execute(() -> {
                startNextRequest();
                // Without this event the server holds its responses back until more bytes arrive.
                ctx.fireChannelReadComplete();
            });
        }
    }

    /**
     * Accepts nothing more from this client. The request in flight gets its own response first, and each
     * complete request behind it a harmless rejection; then this rejection is written and the connection
     * ends.
     */
    void reject(int status, String message) {
        if (!state.takesRequests() || rejection != null) {
            return;
        }
        rejection = new FramingValidator.Rejection(status, message);
        requests.abandonUnfinished();
        stopParsing();
        if (state.phase() != ClientConnectionState.Phase.ANSWERING) {
            writeRejection();
        }
    }

    private void writeRejection() {
        String text = PRECEDES_REJECTED.response(false, sendsRetryAfter).repeat(requests.waiting())
                + rejection.response(true, sendsRetryAfter);
        state.beginClosing(clock.nowMillis());
        requests.clear();
        // Written at the first handler, past the server's own responses.
        context.pipeline()
                .firstContext()
                .writeAndFlush(ByteBufUtil.writeAscii(context.alloc(), text))
                .addListener(f -> shutDownOutput());
    }

    private void stopParsing() {
        if (context.pipeline().get(StrictHttpDecoder.class) != null) {
            context.pipeline().remove(StrictHttpDecoder.class);
        }
    }

    private boolean hasUnreadOutput() {
        return countUnreadBytes() > 0;
    }

    /** The bytes that the socket has not accepted; an entry of the buffer is counted out only when it is complete. */
    private long countUnreadBytes() {
        ChannelOutboundBuffer out = context.channel().unsafe().outboundBuffer();
        return out == null ? 0 : out.totalPendingWriteBytes() - out.currentProgress();
    }

    private void trackOutput(double now) {
        long unread = countUnreadBytes();
        if (unread < unreadBytes) {
            state.outputProgressed(now);
        }
        unreadBytes = unread;
    }

    /** Ends the connection if its timeout has passed. */
    void closeIfOverdue(double now) {
        trackOutput(now);
        boolean unreadOutput = hasUnreadOutput();
        if (!state.isOverdue(now, unreadOutput)) {
            resumeDiscarding();
        } else if (state.phase() == ClientConnectionState.Phase.READING) {
            reject(408, "the request took too long to come");
        } else if (unreadOutput || state.phase() != ClientConnectionState.Phase.WAITING || isStillIdle()) {
            close();
        }
    }

    /** Reads the next portion of what is discarded while a request is in flight. */
    private void resumeDiscarding() {
        if (rejection != null && state.phase() == ClientConnectionState.Phase.ANSWERING) {
            discardedBytes = 0;
            context.channel().config().setAutoRead(true);
        }
    }

    /**
     * Closes the connection if no request is in flight, nothing has arrived and its last response is written.
     * It is not read any more: a request that crosses the close is never accepted, and a reset tells its
     * client so.
     */
    void closeIfQuiet(double now) {
        if (state.isQuiet(now) && !hasUnreadOutput() && isStillIdle()) {
            close();
        }
    }

    /** Whether no request is in flight, judged by reading the socket now: a request may be unread in it. */
    boolean isStillIdle() {
        return state.isIdle() && isConnected() && state.isIdle();
    }

    /**
     * After the last response: shuts the connection for writing and reads on without accepting anything. A
     * close with unread bytes resets the connection, and the client may lose the response before reading it.
     */
    private void shutDownOutput() {
        if (!state.beginLingering(clock.nowMillis())) {
            return;
        }
        requests.clear();
        stopParsing();
        if (context.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        } else if (rejection == null) {
            // A channel that cannot be shut for writing alone.
            context.close();
        }
    }

    /** The server's own close after a last response: left to the lingering close that has begun. */
    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        boolean lingers = state.phase() == ClientConnectionState.Phase.CLOSING
                || state.phase() == ClientConnectionState.Phase.LINGERING;
        if (lingers && ctx.channel() instanceof DuplexChannel) {
            long linger = (long) ClientConnectionState.LINGER_MILLIS;
            ctx.executor().schedule(() -> ctx.close(promise), linger, TimeUnit.MILLISECONDS);
        } else {
            ctx.close(promise);
        }
    }

    /**
     * Closes at once. The state changes here, since the channel reports its close only later and the
     * connection could be chosen for eviction again until then.
     */
    void close() {
        state.closed();
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        state.closed();
        requests.clear();
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // Broken client connections are not logged.
        ctx.close();
    }
}
