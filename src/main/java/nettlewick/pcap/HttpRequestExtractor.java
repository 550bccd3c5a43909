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

/** Extracts the HTTP/1.1 requests from the bytes of one flow. After a gap, bytes are skipped until a request starts. */
final class HttpRequestExtractor implements TcpFlowReassembler.Sink {
    private static final Pattern REQUEST_START =
            Pattern.compile("[A-Z]{3,10} \\S+ HTTP/1\\.[01]\\r\\n.*", Pattern.DOTALL);

    private final Consumer<RecordedRequest> requestConsumer;
    private final Runnable onIncomplete;
    /** Null until the start of a request has been found. */
    private EmbeddedChannel decoder;
    /** The head of the request whose body is being read; null if none. */
    private HttpRequest head;

    private Buffer body = Buffer.buffer();

    /**
     * @param requestConsumer receives each complete request
     * @param onIncomplete    called for each request that is malformed or lacks bytes
     */
    HttpRequestExtractor(Consumer<RecordedRequest> requestConsumer, Runnable onIncomplete) {
        this.requestConsumer = requestConsumer;
        this.onIncomplete = onIncomplete;
    }

    @Override
    public void onBytes(double capturedAtMillis, byte[] bytes) {
        if (decoder == null) {
            // Other bytes belong to the opposite direction, another protocol, or a request that started in a gap.
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
            // On finish, the decoder reports a partially received head as a failure.
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
