package nettlewick.net.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/** The server's HTTP decoder, made strict about requests with two lengths. Reports when bytes arrive. */
final class StrictHttpDecoder extends VertxHttpRequestDecoder {
    private final Runnable onBytes;

    StrictHttpDecoder(HttpServerOptions options, Runnable onBytes) {
        super(options);
        this.onBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        onBytes.run();
        super.channelRead(context, message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // The decoder would ignore the length and use the chunks; what follows them in the body would then be
        // served as a request that no client has sent.
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
