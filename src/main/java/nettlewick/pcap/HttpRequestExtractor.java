package nettlewick.pcap;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/** Extracts the HTTP/1.1 requests from the bytes of one flow; what follows a gap is skipped up to a request's start. */
final class HttpRequestExtractor implements TcpFlowReassembler.Sink {
    private static final Pattern REQUEST_START =
            Pattern.compile("[A-Z]{3,10} \\S+ HTTP/1\\.[01]\\r\\n.*", Pattern.DOTALL);

    private final Consumer<RecordedRequest> requestConsumer;
    private final Runnable onIncomplete;
    /** Null until bytes begin with a request. */
    private EmbeddedChannel decoder;
    /** The head of the request whose body is being read, or null. */
    private HttpRequest head;

    private Buffer body = Buffer.buffer();

    /**
     * @param requests     takes each complete request
     * @param onIncomplete called for each request that misses bytes or is malformed
     */
    HttpRequestExtractor(Consumer<RecordedRequest> requestConsumer, Runnable onIncomplete) {
        this.requestConsumer = requestConsumer;
        this.onIncomplete = onIncomplete;
    }

    @Override
    public void onBytes(double capturedAtMillis, byte[] bytes) {
        if (decoder == null) {
            // Else it is the other direction, another protocol, or the rest of a request that started in a gap.
            if (!startsRequest(bytes)) {
                return;
            }
            decoder = new EmbeddedChannel(new HttpRequestDecoder());
        }
        decoder.writeInbound(Unpooled.wrappedBuffer(bytes));
        for (HttpObject message = decoder.readInbound(); message != null; message = decoder.readInbound()) {
            if (message.decoderResult().isFailure()) {
                onIncomplete.run();
                reset();
                return;
            }
            addMessage(capturedAtMillis, message);
        }
    }

    private static boolean startsRequest(byte[] bytes) {
        return REQUEST_START
                .matcher(new String(bytes, StandardCharsets.ISO_8859_1))
                .matches();
    }

    private void addMessage(double capturedAtMillis, HttpObject message) {
        if (message instanceof HttpRequest request) {
            head = request;
            body = Buffer.buffer();
        }
        if (message instanceof HttpContent content) {
            byte[] bytes = new byte[content.content().readableBytes()];
            content.content().readBytes(bytes);
            content.release();
            body.appendBytes(bytes);
        }
        if (message instanceof LastHttpContent && head != null) {
            MultiMap headers = MultiMap.caseInsensitiveMultiMap();
            head.headers().forEach(h -> headers.add(h.getKey(), h.getValue()));
            requestConsumer.accept(
                    new RecordedRequest(capturedAtMillis, head.method().name(), head.uri(), headers, body));
            head = null;
        }
    }

    @Override
    public void onGap() {
        boolean isTruncated = head != null;
        if (decoder != null) {
            // When finished, the decoder reports a head that it has seen in part only.
            decoder.finish();
            for (HttpObject message = decoder.readInbound(); message != null; message = decoder.readInbound()) {
                isTruncated |= message.decoderResult().isFailure();
            }
        }
        if (isTruncated) {
            onIncomplete.run();
        }
        reset();
    }

    private void reset() {
        decoder = null;
        head = null;
    }
}
