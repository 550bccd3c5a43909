package nettlewick.net.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.ScheduledFuture;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import nettlewick.core.Clock;

/**
 * Limits the connections that are accepted. Vert.x accepts on a thread of its own, as fast as it can: many
 * clients at once would use up all descriptors before the event loop has closed the first of its connections.
 * At the limit, new connections wait in the kernel's queue until another one closes. Safe for any thread.
 */
public final class ConnectionLimiter implements Transport {
    /** How often it is checked whether the kernel's queue is empty, and how many times at most. */
    private static final long QUEUE_CHECK_MILLIS = 20;

    private static final int MAX_QUEUE_CHECKS = 50;

    /** The earliest time at which a connection may have been made, in milliseconds. */
    private static final AttributeKey<Double> MADE_AT = AttributeKey.valueOf("nettlewick.madeAt");

    private final Clock clock;
    private volatile int maxConnections;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final Set<Channel> listeners = ConcurrentHashMap.newKeySet();
    private final Set<Channel> pausedListeners = ConcurrentHashMap.newKeySet();

    /** Creates a limiter that lets this many connections be open. */
    public ConnectionLimiter(Clock clock, int maxConnections) {
        this.clock = clock;
        this.maxConnections = maxConnections;
    }

    private final class LimitedServerChannel extends NioServerSocketChannel {
        private final EventLoopTicks ticks = new EventLoopTicks(clock.nowMillis());
        private ScheduledFuture<?> tickTimer;
        /** Whether the kernel's queue was empty when it was last read. */
        private boolean queueEmptied;

        LimitedServerChannel() {
            listeners.add(this);
        }

        @Override
        protected void doBind(SocketAddress address) throws Exception {
            // The NIO transport ignores Vert.x's reusePort option without an error. The first process has to
            // allow sharing as well, or a new version of the program could not listen beside the old one.
            javaChannel().setOption(StandardSocketOptions.SO_REUSEPORT, true);
            super.doBind(address);
            startTicks();
        }

        /**
         * Accepts everything in the kernel's queue, as fast as the limit allows, then closes the listener:
         * the kernel resets connections that a closed listener has not accepted.
         */
        private void closeOnceQueueIsEmpty(Runnable onClosed, int checksLeft) {
            queueEmptied = false;
            if (isOpen()) {
                ((AbstractNioChannel.NioUnsafe) unsafe()).read();
            }
            if (queueEmptied || checksLeft == 0 || !isOpen()) {
                close();
                onClosed.run();
            } else {
                eventLoop()
                        .schedule(
                                () -> closeOnceQueueIsEmpty(onClosed, checksLeft - 1),
                                QUEUE_CHECK_MILLIS,
                                TimeUnit.MILLISECONDS);
            }
        }

        private void startTicks() {
            ticks.tick(clock.nowMillis());
            tickTimer = eventLoop()
                    .scheduleAtFixedRate(
                            this::tick,
                            EventLoopTicks.INTERVAL_MILLIS,
                            EventLoopTicks.INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }

        /** While the listener is paused, connections wait in the kernel's queue unseen. */
        private void tick() {
            if (!isOpen()) {
                tickTimer.cancel(false);
            } else if (config().isAutoRead()) {
                ticks.tick(clock.nowMillis());
            }
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            double earliestMadeAt = ticks.earliestArrival(clock.nowMillis());
            if (openConnections.incrementAndGet() > maxConnections) {
                // Paused before it is added to the set: in the other order it could be resumed in between and
                // never again.
                config().setAutoRead(false);
                pausedListeners.add(this);
                connectionReleased();
                return 0;
            }
            int before = accepted.size();
            try {
                return super.doReadMessages(accepted);
            } finally {
                if (accepted.size() > before) {
                    Channel connection = (Channel) accepted.get(before);
                    connection.attr(MADE_AT).set(earliestMadeAt);
                    connection.closeFuture().addListener(f -> connectionReleased());
                } else {
                    queueEmptied = true;
                    connectionReleased();
                }
            }
        }
    }

    /**
     * Accepts what is already in the kernel's queue, within the limit, and nothing new; open connections stay
     * open. Completes once everything accepted has been handed to its event loop, or after a bounded number
     * of checks.
     */
    public Future<Void> closeOnceQueueIsEmpty() {
        List<Future<Void>> onClosed = new ArrayList<>();
        for (Channel channel : listeners) {
            Promise<Void> listenerClosed = Promise.promise();
            onClosed.add(listenerClosed.future());
            LimitedServerChannel listener = (LimitedServerChannel) channel;
            listener.eventLoop()
                    .execute(() -> listener.closeOnceQueueIsEmpty(listenerClosed::tryComplete, MAX_QUEUE_CHECKS));
        }
        return Future.join(onClosed).mapEmpty();
    }

    /**
     * The earliest time at which a connection may have been made, in milliseconds; {@code fallback} for one that this
     * class did not accept.
     */
    static double madeAt(Channel connection, double fallback) {
        Double madeAt = connection.attr(MADE_AT).get();
        return madeAt == null ? fallback : madeAt;
    }

    /** Changes how many connections may be open. */
    public void setMaxConnections(int limit) {
        maxConnections = limit;
    }

    private void connectionReleased() {
        if (openConnections.decrementAndGet() < maxConnections) {
            for (Channel channel : pausedListeners) {
                // Removed from the set before it is resumed: in the other order a channel that is paused again
                // would stay paused.
                if (pausedListeners.remove(channel)) {
                    channel.config().setAutoRead(true);
                }
            }
        }
    }

    @Override
    public String name() {
        return "nio, connection-limited";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public io.vertx.core.spi.transport.Transport implementation() {
        return new NioTransport() {
            @Override
            public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
                return domainSocket ? super.serverChannelFactory(true) : LimitedServerChannel::new;
            }
        };
    }
}
