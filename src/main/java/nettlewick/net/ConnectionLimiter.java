package nettlewick.net;

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
final class ConnectionLimiter implements Transport {
    /** How often, and how many times at the most, it is looked whether the kernel's queue is empty; in ms. */
    private static final long LOOK = 20;

    private static final int LOOKS = 50;

    private volatile int most;
    private final AtomicInteger open = new AtomicInteger();
    private final Set<Channel> listeners = ConcurrentHashMap.newKeySet();
    private final Set<Channel> held = ConcurrentHashMap.newKeySet();

    ConnectionLimiter(int most) {
        this.most = most;
    }

    private final class GatedChannel extends NioServerSocketChannel {
        /** Nothing waited in the kernel's queue when it was last read. */
        private boolean emptied;

        GatedChannel() {
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
        private void closeOnceEmpty(Runnable closed, int looks) {
            emptied = false;
            if (isOpen()) {
                ((AbstractNioChannel.NioUnsafe) unsafe()).read();
            }
            if (emptied || looks == 0 || !isOpen()) {
                close();
                closed.run();
            } else {
                eventLoop().schedule(() -> closeOnceEmpty(closed, looks - 1), LOOK, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (open.incrementAndGet() > most) {
                // Danger: noted before it stops reading, it could be woken in between and never again.
                config().setAutoRead(false);
                held.add(this);
                leave();
                return 0;
            }
            int before = accepted.size();
            try {
                return super.doReadMessages(accepted);
            } finally {
                if (accepted.size() > before) {
                    ((Channel) accepted.get(before)).closeFuture().addListener(f -> leave());
                } else {
                    emptied = true;
                    leave();
                }
            }
        }
    }

    /**
     * Accepts what waits already, within the bound, and nothing new; connections that are open stay so. Done
     * once all that was accepted has been handed to the event loop that serves it, or what waits has had its
     * time.
     */
    Future<Void> closeOnceEmpty() {
        List<Future<Void>> closed = new ArrayList<>();
        for (Channel channel : listeners) {
            Promise<Void> one = Promise.promise();
            closed.add(one.future());
            GatedChannel listener = (GatedChannel) channel;
            listener.eventLoop().execute(() -> listener.closeOnceEmpty(one::tryComplete, LOOKS));
        }
        return Future.join(closed).mapEmpty();
    }

    /** From now on so many connections may be open. */
    void bound(int next) {
        most = next;
    }

    private void leave() {
        if (open.decrementAndGet() < most) {
            for (Channel channel : held) {
                // Danger: woken first and struck off then, a channel that is stopped anew would stay so.
                if (held.remove(channel)) {
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
                return domainSocket ? super.serverChannelFactory(true) : GatedChannel::new;
            }
        };
    }
}
