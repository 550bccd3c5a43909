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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Extracts the HTTP/1.1 requests from the bytes of one flow. After a gap, bytes are skipped until a request starts. */
final class HttpRequestExtractor implements TcpFlowReassembler.Sink {
    private static final Pattern REQUEST_START =
            Pattern.compile("[A-Z]{3,10} \\S+ HTTP/1\\.[01]\\r\\n.*", Pattern.DOTALL);
    /** A method and the first character of a path. */
    private static final Pattern FIRST_LINE_BEGUN = Pattern.compile("[A-Z]{3,10} /.*", Pattern.DOTALL);

    /** The first line of a request and the next bytes are searched up to this length. */
    private static final int MAX_START_BYTES = 8192;

    private final Consumer<RecordedRequest> requestConsumer;
    private final Runnable onIncomplete;
    /** Bytes that may be the first part of a request's first line; empty once a request has been found. */
    private Buffer possibleStart = Buffer.buffer();
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
        byte[] requestBytes = bytes;
        if (decoder == null) {
            requestBytes = findStart(bytes);
            if (requestBytes == null) {
                return;
            }
            decoder = new EmbeddedChannel(new HttpRequestDecoder());
        }
        decoder.writeInbound(Unpooled.wrappedBuffer(requestBytes));
        for (HttpObject message = decoder.readInbound(); message != null; message = decoder.readInbound()) {
            if (message.decoderResult().isFailure()) {
                onIncomplete.run();
                reset();
                return;
            }
            addMessage(capturedAtMillis, message);
        }
    }

    /**
     * Returns the bytes since the start of a request, whose first line may be split across segments; null if there is
     * none yet. Other bytes belong to the opposite direction, another protocol, or a request that started in a gap.
     */
    private byte[] findStart(byte[] bytes) {
        boolean continuesEarlierBytes = possibleStart.length() > 0;
        possibleStart.appendBytes(bytes);
        Matcher matcher = REQUEST_START.matcher(possibleStart.toString(StandardCharsets.ISO_8859_1));
        byte[] found = matcher.matches() ? possibleStart.getBytes() : null;
        boolean mayContinue = found == null && matcher.hitEnd() && possibleStart.length() < MAX_START_BYTES;
        if (mayContinue) {
            return null;
        }
        possibleStart = Buffer.buffer();
        // The earlier bytes may have been the end of a request that started in a gap.
        return found == null && continuesEarlierBytes ? findStart(bytes) : found;
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
        boolean isTruncated = head != null || isFirstLineBegun();
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

    private boolean isFirstLineBegun() {
        return FIRST_LINE_BEGUN
                .matcher(possibleStart.toString(StandardCharsets.ISO_8859_1))
                .matches();
    }

    private void reset() {
        possibleStart = Buffer.buffer();
        decoder = null;
        head = null;
    }
}
