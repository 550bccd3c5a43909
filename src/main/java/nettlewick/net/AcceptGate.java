package nettlewick.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds the connections that are accepted. Danger: Vert.x accepts on a thread of its own, as fast as it can;
 * a crowd would use up all descriptors before the event loop has closed the first of its connections. At the
 * bound, newcomers wait in the kernel's queue until a connection is closed.
 */
final class AcceptGate implements Transport {
    private final int most;
    private final AtomicInteger open = new AtomicInteger();
    private final Set<Channel> listeners = ConcurrentHashMap.newKeySet();
    private final Set<Channel> held = ConcurrentHashMap.newKeySet();

    AcceptGate(int most) {
        this.most = most;
    }

    private final class GatedChannel extends NioServerSocketChannel {
        GatedChannel() {
            listeners.add(this);
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
                    leave();
                }
            }
        }
    }

    /** Accepts nothing new; connections that are open stay so. */
    void close() {
        listeners.forEach(Channel::close);
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
