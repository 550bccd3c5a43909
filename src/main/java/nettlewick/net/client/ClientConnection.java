package nettlewick.net.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.nio.AbstractNioChannel;
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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import nettlewick.core.Clock;

/**
 * Stands between a client's bytes and the server: only whole requests in order pass, one at a time. All else
 * is refused here, before anything is made for it; what was read before it gets its own answer first. Ends
 * the connection by a lingering close. Lives on the event loop; its states are those of {@link ClientConnectionState}.
 */
final class ClientConnection extends ChannelDuplexHandler {
    /** Whole requests that may wait behind the one that is worked on. */
    private static final int MAX_PIPELINED_REQUESTS = 4;
    /** The end of a connection stands behind what was sent before it: one read for that, one for the end. */
    private static final int READS_TO_DETECT_CLOSE = 2;
    /** What a request gets that was read whole and stands before one that is refused. Harmless to repeat. */
    private static final FramingValidator.Rejection PRECEDES_REJECTED =
            new FramingValidator.Rejection(429, "what came behind it is refused");
    /** Bytes read after a refusal, so that it is not eaten by a reset; then the client's sending stalls. */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private static final ByteBuf CONTINUE = Unpooled.unreleasableBuffer(
                    Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", StandardCharsets.US_ASCII))
            .asReadOnly();

    /** A request that has come whole. */
    private record CompleteRequest(HttpRequest head, ByteBuf body, double arrivedAt) {}

    /** Bytes of requests held for all clients together. */
    static final class RequestByteBudget {
        private final long maxBytes;
        private long bufferedBytes;

        RequestByteBudget(long maxBytes) {
            this.maxBytes = maxBytes;
        }

        private boolean reserve(long bytes) {
            bufferedBytes += bytes;
            return bufferedBytes <= maxBytes;
        }
    }

    private final Clock clock;
    /** The earliest time at which what is read now may have come. */
    private final DoubleSupplier receivedAt;

    private final RequestByteBudget budget;
    private final ClientConnectionState state;
    private final Deque<CompleteRequest> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteBuf body;
    private int bufferedBytes;
    private long discardedBytes;
    /** Why nothing more is taken; null while requests are. Written once the request in work is answered. */
    private FramingValidator.Rejection rejection;

    private double arrivedAt;
    private boolean workRequest;
    private boolean resultSent;
    private boolean closeAfterResponse;
    /** Whether the client itself asked for the connection's end. */
    private boolean clientAskedToClose;

    ClientConnection(Clock clock, RequestByteBudget budget) {
        this(clock, clock::now, budget);
    }

    /** {@code cameAt} tells the earliest time at which what is read now may have come. */
    ClientConnection(Clock clock, DoubleSupplier receivedAt, RequestByteBudget budget) {
        this.clock = clock;
        this.receivedAt = receivedAt;
        this.budget = budget;
        state = new ClientConnectionState(clock.now());
    }

    ClientConnectionState state() {
        return state;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Some bytes have come, whatever they are. */
    void bytesReceived() {
        state.bytesReceived(clock.now());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object read) {
        try {
            if (rejection != null || !state.takesRequests()) {
                discard(read);
                return;
            }
            if (read instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (read instanceof HttpContent content && head != null) {
                addContent(content);
            }
        } finally {
            ReferenceCountUtil.release(read);
        }
    }

    private void discard(Object read) {
        discardedBytes += read instanceof ByteBuf bytes
                ? bytes.readableBytes()
                : read instanceof ByteBufHolder holder ? holder.content().readableBytes() : 0;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            // 60 MB read only to be thrown away would take the turns of the usual clients. While a request is
            // in work, sweep() reads on in portions: a connection that is not read never shows its end.
            context.channel().config().setAutoRead(false);
        }
    }

    private void beginRequest(HttpRequest request) {
        FramingValidator.Rejection problem = FramingValidator.validate(request);
        if (problem != null) {
            reject(problem.status(), problem.message());
        } else if (pipelined.size() >= MAX_PIPELINED_REQUESTS) {
            reject(429, "too many requests at once on one connection");
        } else {
            head = request;
            body = Unpooled.buffer(Math.max(0, (int) HttpUtil.getContentLength(request, 0L)));
            if (HttpUtil.is100ContinueExpected(request)) {
                context.pipeline().firstContext().writeAndFlush(CONTINUE.duplicate());
            }
        }
    }

    private void addContent(HttpContent content) {
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
            reject(problem.status(), problem.message());
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            pipelined.addLast(new CompleteRequest(head, body, receivedAt.getAsDouble()));
            head = null;
        }
    }

    /** When the last byte of the request in work came, at the earliest; in milliseconds. */
    double arrivedAt() {
        return arrivedAt;
    }

    /**
     * Whether the client is still connected. Its end may have come with its request, or while the event loop
     * was busy, and wait unread: the socket is read here and now, in the turn that asks.
     */
    boolean isConnected() {
        Channel channel = context.channel();
        for (int i = 0;
                i < READS_TO_DETECT_CLOSE
                        && channel.isActive()
                        && channel.config().isAutoRead();
                i++) {
            if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
                unsafe.read();
            }
        }
        return channel.isActive();
    }

    /** All that was there is read. Passed on sooner, the first requests of a flood would be dispatched. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        startNextRequest();
        ctx.fireChannelReadComplete();
    }

    private void startNextRequest() {
        if (rejection == null && !pipelined.isEmpty() && state.beginRequest()) {
            CompleteRequest next = pipelined.pollFirst();
            releaseBytes(next.body().readableBytes());
            arrivedAt = next.arrivedAt();
            clientAskedToClose =
                    next.head().headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
            workRequest = HttpMethod.POST.equals(next.head().method());
            context.fireChannelRead(next.head());
            context.fireChannelRead(new DefaultLastHttpContent(next.body()));
        }
    }

    private void releaseBytes(long bytes) {
        bufferedBytes -= bytes;
        budget.reserve(-bytes);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object written, ChannelPromise promise) {
        if (written instanceof HttpResponse response) {
            beginResponse(response);
        }
        boolean last = written instanceof LastHttpContent;
        boolean ends = last && closeAfterResponse;
        ChannelPromise done = ends ? promise.unvoid() : promise;
        if (ends) {
            // Before the write: whatever is read from here on is not taken any more.
            state.beginClosing(clock.now());
            done.addListener(f -> shutDownOutput());
        }
        ctx.write(written, done);
        if (last && !ends) {
            responseWritten(ctx);
        }
    }

    private void beginResponse(HttpResponse response) {
        resultSent = workRequest && response.status().code() == HttpResponseStatus.OK.code();
        closeAfterResponse = response.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        boolean more = !pipelined.isEmpty() || head != null || rejection != null;
        if (closeAfterResponse && !clientAskedToClose && more) {
            // What the client has sent behind it is answered first; the last answer says that it is the last.
            response.headers().remove(HttpHeaderNames.CONNECTION);
            closeAfterResponse = false;
        }
    }

    /** An answer that is not the last one is written: the next request's turn. */
    private void responseWritten(ChannelHandlerContext ctx) {
        state.responseWritten(clock.now(), resultSent);
        if (rejection != null) {
            writeRejection();
        } else if (!pipelined.isEmpty() || head != null) {
            state.bytesReceived(clock.now());
            ctx.executor().execute(() -> {
                startNextRequest();
                // Without this word the server holds its answers back until more bytes come.
                ctx.fireChannelReadComplete();
            });
        }
    }

    /**
     * Takes nothing more from this client. The request in work gets its own answer first, and each that was
     * read whole and waits behind it a harmless refusal; then comes this one, and the connection ends.
     */
    void reject(int status, String message) {
        if (!state.takesRequests() || rejection != null) {
            return;
        }
        rejection = new FramingValidator.Rejection(status, message);
        head = null;
        body = null;
        stopParsing();
        if (state.phase() != ClientConnectionState.Phase.ANSWERING) {
            writeRejection();
        }
    }

    private void writeRejection() {
        String text = PRECEDES_REJECTED.response(false).repeat(pipelined.size()) + rejection.response(true);
        state.beginClosing(clock.now());
        discardPending();
        // From the first handler on: what is written there passes by the server's own answers.
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
        ChannelOutboundBuffer out = context.channel().unsafe().outboundBuffer();
        return out != null && out.totalPendingWriteBytes() > 0;
    }

    /** Ends the connection if its time is over. */
    void closeIfOverdue(double now) {
        boolean unreadOutput = hasUnreadOutput();
        if (!state.isOverdue(now, unreadOutput)) {
            resumeDiscarding();
        } else if (state.phase() == ClientConnectionState.Phase.READING) {
            reject(408, "the request took too long to come");
        } else if (unreadOutput || state.phase() != ClientConnectionState.Phase.WAITING || isStillIdle()) {
            close();
        }
    }

    /** The next portion of what is thrown away while a request is in work. */
    private void resumeDiscarding() {
        if (rejection != null && state.phase() == ClientConnectionState.Phase.ANSWERING) {
            discardedBytes = 0;
            context.channel().config().setAutoRead(true);
        }
    }

    /**
     * Closes the connection if nothing is owed on it, nothing has come, and its last answer is out. It is not
     * read any more: a request that crosses the close is never taken, and its client learns so by a reset.
     */
    void closeIfQuiet(double now) {
        if (state.isQuiet(now) && !hasUnreadOutput() && isStillIdle()) {
            close();
        }
    }

    /** Whether nothing is owed here, by what the socket says now: a request may wait unread in it. */
    boolean isStillIdle() {
        return state.isIdle() && isConnected() && state.isIdle();
    }

    /**
     * After the last answer: says that nothing more comes, and reads on without taking anything. A close over
     * unread bytes resets the connection, and the client may lose the answer before it has read it.
     */
    private void shutDownOutput() {
        if (!state.beginLingering(clock.now())) {
            return;
        }
        discardPending();
        stopParsing();
        if (context.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        } else if (rejection == null) {
            // A channel that cannot be shut one way only.
            context.close();
        }
    }

    /** The server's own close after a last answer: the lingering close that has begun does it. */
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

    /** Closes at once. The channel tells of its end only later; until then it would be chosen again. */
    void close() {
        state.closed();
        context.close();
    }

    private void discardPending() {
        releaseBytes(bufferedBytes);
        pipelined.clear();
        head = null;
        body = null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        state.closed();
        discardPending();
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A client's broken connection is its own affair: no log line for each.
        ctx.close();
    }
}
