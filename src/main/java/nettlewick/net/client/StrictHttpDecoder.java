package nettlewick.net.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/** The server's decoder, less its kindness to a request of two lengths; it tells when bytes come. */
final class StrictHttpDecoder extends VertxHttpRequestDecoder {
    private final Runnable onBytes;

    StrictHttpDecoder(HttpServerOptions options, Runnable onBytes) {
        super(options);
        this.onBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) throws Exception {
        onBytes.run();
        super.channelRead(context, read);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Danger: the decoder would drop the length and go by the chunks, and what stands behind them in the
        // body would be served as a request of its own: one that no client has sent.
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
