package nettlewick.net.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * The server's HTTP decoder, made strict about requests with two lengths and limited in the number of header fields.
 * Reports when bytes arrive.
 */
final class StrictHttpDecoder extends VertxHttpRequestDecoder {
    /**
     * Most header fields of a request, its trailers included. A decoded field takes many times the four bytes that it
     * needs on the wire.
     */
    static final int MAX_HEADER_FIELDS = 100;

    private final Runnable onBytes;
    private int headerFields;

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
    protected HttpMessage createMessage(String[] initialLine) {
        headerFields = 0;
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        headerFields++;
        if (headerFields > MAX_HEADER_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_HEADER_FIELDS + " header fields");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // The decoder would ignore the length and use the chunks; what follows them in the body would then be
        // served as a request that no client has sent.
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
