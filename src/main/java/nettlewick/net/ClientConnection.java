package nettlewick.net;

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
    private static final int WAITING_MOST = 4;
    /** The end of a connection stands behind what was sent before it: one read for that, one for the end. */
    private static final int READS_FOR_AN_END = 2;
    /** What a request gets that was read whole and stands before one that is refused. Harmless to repeat. */
    private static final FramingValidator.Refusal STANDS_BEFORE =
            new FramingValidator.Refusal(429, "what came behind it is refused");
    /** Bytes read after a refusal, so that it is not eaten by a reset; then the client's sending stalls. */
    private static final long REST_MOST = 256 * 1024;

    private static final ByteBuf CONTINUE = Unpooled.unreleasableBuffer(
                    Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", StandardCharsets.US_ASCII))
            .asReadOnly();

    /** A request that has come whole. */
    private record Whole(HttpRequest head, ByteBuf body, double arrivedAt) {}

    /** Bytes of requests held for all clients together. */
    static final class Budget {
        private final long most;
        private long held;

        Budget(long most) {
            this.most = most;
        }

        private boolean take(long bytes) {
            held += bytes;
            return held <= most;
        }
    }

    private final Clock clock;
    /** The earliest time at which what is read now may have come. */
    private final DoubleSupplier cameAt;

    private final Budget budget;
    private final ClientConnectionState state;
    private final Deque<Whole> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteBuf body;
    private int held;
    private long rest;
    /** Why nothing more is taken; null while requests are. Written once the request in work is answered. */
    private FramingValidator.Refusal refusal;

    private double arrivedAt;
    private boolean job;
    private boolean result;
    private boolean closes;
    /** Whether the client itself asked for the connection's end. */
    private boolean clientCloses;

    ClientConnection(Clock clock, Budget budget) {
        this(clock, clock::now, budget);
    }

    /** {@code cameAt} tells the earliest time at which what is read now may have come. */
    ClientConnection(Clock clock, DoubleSupplier cameAt, Budget budget) {
        this.clock = clock;
        this.cameAt = cameAt;
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
    void bytes() {
        state.bytes(clock.now());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object read) {
        try {
            if (refusal != null || !state.takesRequests()) {
                skip(read);
                return;
            }
            if (read instanceof HttpRequest request) {
                begin(request);
            }
            if (read instanceof HttpContent content && head != null) {
                more(content);
            }
        } finally {
            ReferenceCountUtil.release(read);
        }
    }

    private void skip(Object read) {
        rest += read instanceof ByteBuf bytes
                ? bytes.readableBytes()
                : read instanceof ByteBufHolder holder ? holder.content().readableBytes() : 0;
        if (rest > REST_MOST) {
            // 60 MB read only to be thrown away would take the turns of the usual clients. While a request is
            // in work, sweep() reads on in portions: a connection that is not read never shows its end.
            context.channel().config().setAutoRead(false);
        }
    }

    private void begin(HttpRequest request) {
        FramingValidator.Refusal refusal = FramingValidator.of(request);
        if (refusal != null) {
            refuse(refusal.status(), refusal.message());
        } else if (waiting.size() >= WAITING_MOST) {
            refuse(429, "too many requests at once on one connection");
        } else {
            head = request;
            body = Unpooled.buffer(Math.max(0, (int) HttpUtil.getContentLength(request, 0L)));
            if (HttpUtil.is100ContinueExpected(request)) {
                context.pipeline().firstContext().writeAndFlush(CONTINUE.duplicate());
            }
        }
    }

    private void more(HttpContent content) {
        FramingValidator.Refusal refusal = FramingValidator.of(content.decoderResult());
        int length = content.content().readableBytes();
        if (refusal == null && body.readableBytes() + length > FramingValidator.BODY_MOST) {
            refusal = FramingValidator.tooLong();
        }
        held += length;
        if (!budget.take(length) && refusal == null) {
            refusal = new FramingValidator.Refusal(503, "too much is being sent at once");
        }
        if (refusal != null) {
            refuse(refusal.status(), refusal.message());
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            waiting.addLast(new Whole(head, body, cameAt.getAsDouble()));
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
    boolean connected() {
        Channel channel = context.channel();
        for (int i = 0;
                i < READS_FOR_AN_END && channel.isActive() && channel.config().isAutoRead();
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
        next();
        ctx.fireChannelReadComplete();
    }

    private void next() {
        if (refusal == null && !waiting.isEmpty() && state.begin()) {
            Whole whole = waiting.pollFirst();
            letGo(whole.body().readableBytes());
            arrivedAt = whole.arrivedAt();
            clientCloses = whole.head().headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
            job = HttpMethod.POST.equals(whole.head().method());
            context.fireChannelRead(whole.head());
            context.fireChannelRead(new DefaultLastHttpContent(whole.body()));
        }
    }

    private void letGo(long bytes) {
        held -= bytes;
        budget.take(-bytes);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object written, ChannelPromise promise) {
        if (written instanceof HttpResponse response) {
            beginAnswer(response);
        }
        boolean last = written instanceof LastHttpContent;
        boolean ends = last && closes;
        ChannelPromise done = ends ? promise.unvoid() : promise;
        if (ends) {
            // Before the write: whatever is read from here on is not taken any more.
            state.close(clock.now());
            done.addListener(f -> endOutput());
        }
        ctx.write(written, done);
        if (last && !ends) {
            answered(ctx);
        }
    }

    private void beginAnswer(HttpResponse response) {
        result = job && response.status().code() == OutboundRequest.OK;
        closes = response.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        boolean more = !waiting.isEmpty() || head != null || refusal != null;
        if (closes && !clientCloses && more) {
            // What the client has sent behind it is answered first; the last answer says that it is the last.
            response.headers().remove(HttpHeaderNames.CONNECTION);
            closes = false;
        }
    }

    /** An answer that is not the last one is written: the next request's turn. */
    private void answered(ChannelHandlerContext ctx) {
        state.answered(clock.now(), result);
        if (refusal != null) {
            writeRefusal();
        } else if (!waiting.isEmpty() || head != null) {
            state.bytes(clock.now());
            ctx.executor().execute(() -> {
                next();
                // Without this word the server holds its answers back until more bytes come.
                ctx.fireChannelReadComplete();
            });
        }
    }

    /**
     * Takes nothing more from this client. The request in work gets its own answer first, and each that was
     * read whole and waits behind it a harmless refusal; then comes this one, and the connection ends.
     */
    void refuse(int status, String message) {
        if (!state.takesRequests() || refusal != null) {
            return;
        }
        refusal = new FramingValidator.Refusal(status, message);
        head = null;
        body = null;
        stopParsing();
        if (state.phase() != ClientConnectionState.Phase.ANSWERING) {
            writeRefusal();
        }
    }

    private void writeRefusal() {
        String text = STANDS_BEFORE.text(false).repeat(waiting.size()) + refusal.text(true);
        state.close(clock.now());
        drop();
        // From the first handler on: what is written there passes by the server's own answers.
        context.pipeline()
                .firstContext()
                .writeAndFlush(ByteBufUtil.writeAscii(context.alloc(), text))
                .addListener(f -> endOutput());
    }

    private void stopParsing() {
        if (context.pipeline().get(StrictHttpDecoder.class) != null) {
            context.pipeline().remove(StrictHttpDecoder.class);
        }
    }

    private boolean unread() {
        ChannelOutboundBuffer out = context.channel().unsafe().outboundBuffer();
        return out != null && out.totalPendingWriteBytes() > 0;
    }

    /** Ends the connection if its time is over. */
    void sweep(double now) {
        boolean unread = unread();
        if (!state.late(now, unread)) {
            readOn();
        } else if (state.phase() == ClientConnectionState.Phase.READING) {
            refuse(408, "the request took too long to come");
        } else if (unread || state.phase() != ClientConnectionState.Phase.WAITING || stillIdle()) {
            close();
        }
    }

    /** The next portion of what is thrown away while a request is in work. */
    private void readOn() {
        if (refusal != null && state.phase() == ClientConnectionState.Phase.ANSWERING) {
            rest = 0;
            context.channel().config().setAutoRead(true);
        }
    }

    /**
     * Closes the connection if nothing is owed on it, nothing has come, and its last answer is out. It is not
     * read any more: a request that crosses the close is never taken, and its client learns so by a reset.
     */
    void closeIfQuiet(double now) {
        if (state.quiet(now) && !unread() && stillIdle()) {
            close();
        }
    }

    /** Whether nothing is owed here, by what the socket says now: a request may wait unread in it. */
    boolean stillIdle() {
        return state.idle() && connected() && state.idle();
    }

    /**
     * After the last answer: says that nothing more comes, and reads on without taking anything. A close over
     * unread bytes resets the connection, and the client may lose the answer before it has read it.
     */
    private void endOutput() {
        if (!state.linger(clock.now())) {
            return;
        }
        drop();
        stopParsing();
        if (context.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        } else if (refusal == null) {
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
            long linger = (long) ClientConnectionState.LINGER;
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

    private void drop() {
        letGo(held);
        waiting.clear();
        head = null;
        body = null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        state.closed();
        drop();
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A client's broken connection is its own affair: no log line for each.
        ctx.close();
    }
}
