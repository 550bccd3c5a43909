package nettlewick.net.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
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

/**
 * Bounds the connections that are accepted. Danger: Vert.x accepts on a thread of its own, as fast as it can;
 * a crowd would use up all descriptors before the event loop has closed the first of its connections. At the
 * bound, newcomers wait in the kernel's queue until a connection is closed.
 */
public final class ConnectionLimiter implements Transport {
    /** How often, and how many times at the most, it is looked whether the kernel's queue is empty; in ms. */
    private static final long QUEUE_CHECK_MILLIS = 20;

    private static final int MAX_QUEUE_CHECKS = 50;

    private volatile int maxConnections;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final Set<Channel> listeners = ConcurrentHashMap.newKeySet();
    private final Set<Channel> pausedListeners = ConcurrentHashMap.newKeySet();

    public ConnectionLimiter(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    private final class LimitedServerChannel extends NioServerSocketChannel {
        /** Nothing waited in the kernel's queue when it was last read. */
        private boolean queueEmptied;

        LimitedServerChannel() {
            listeners.add(this);
        }

        @Override
        protected void doBind(SocketAddress address) throws Exception {
            // Danger: the NIO transport leaves Vert.x's reusePort out without a word, and a new version of
            // this program could not listen beside the old one. The first process has to allow it too.
            javaChannel().setOption(StandardSocketOptions.SO_REUSEPORT, true);
            super.doBind(address);
        }

        /**
         * Takes all that waits in the kernel's queue, as fast as the bound lets it, then listens no more: the
         * kernel resets what a closed listener has not accepted.
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

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (openConnections.incrementAndGet() > maxConnections) {
                // Danger: noted before it stops reading, it could be woken in between and never again.
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
                    ((Channel) accepted.get(before)).closeFuture().addListener(f -> connectionReleased());
                } else {
                    queueEmptied = true;
                    connectionReleased();
                }
            }
        }
    }

    /**
     * Accepts what waits already, within the bound, and nothing new; connections that are open stay so. Done
     * once all that was accepted has been handed to the event loop that serves it, or what waits has had its
     * time.
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

    /** From now on so many connections may be open. */
    public void setMaxConnections(int limit) {
        maxConnections = limit;
    }

    private void connectionReleased() {
        if (openConnections.decrementAndGet() < maxConnections) {
            for (Channel channel : pausedListeners) {
                // Danger: woken first and struck off then, a channel that is stopped anew would stay so.
                if (pausedListeners.remove(channel)) {
                    channel.config().setAutoRead(true);
                }
            }
        }
    }

    @Override
    public String name() {
        return "nio, gated";
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
