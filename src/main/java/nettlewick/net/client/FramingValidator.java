package nettlewick.net.client;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Map;

/**
 * Checks that the head of a request frames its body unambiguously, so that no other server reads it
 * differently.
 */
final class FramingValidator {
    static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_LENGTH_DIGITS = 18;
    private static final int RETRY_AFTER_SECONDS = 1;

    /** Why a request is rejected, and with which status. */
    record Rejection(int status, String message) {
        /**
         * The complete response, in ASCII.
         *
         * @param closes whether the connection ends with it
         * @param sendsRetryAfter whether a client that may try again is told when
         */
        String response(boolean closes, boolean sendsRetryAfter) {
            return "HTTP/1.1 " + HttpResponseStatus.valueOf(status)
                    + "\r\nContent-Type: text/plain\r\nContent-Length: " + (message.length() + 1)
                    + (sendsRetryAfter && isRetryHarmless() ? "\r\nRetry-After: " + RETRY_AFTER_SECONDS : "")
                    + (closes ? "\r\nConnection: close" : "") + "\r\n\r\n" + message + "\n";
        }

        private boolean isRetryHarmless() {
            return status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
                    || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
        }
    }

    private FramingValidator() {}

    /** Why the request is rejected; null if it is valid. */
    static Rejection validate(HttpRequest request) {
        Rejection undecoded = validate(request.decoderResult());
        if (undecoded != null) {
            return undecoded;
        }
        HttpVersion version = request.protocolVersion();
        if (version.majorVersion() != 1 || version.minorVersion() > 1) {
            return new Rejection(505, "HTTP/1.1 is spoken here");
        }
        HttpHeaders headers = request.headers();
        for (Map.Entry<String, String> header : headers) {
            // A name such as "Content-Length " is another header here but may be the same one to other servers.
            if (!isToken(header.getKey()) || !isPrintable(header.getValue())) {
                return new Rejection(400, "a header that cannot be read");
            }
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!codings.isEmpty()) {
            boolean onlyChunked = codings.size() == 1
                    && codings.get(0).equalsIgnoreCase("chunked")
                    && lengths.isEmpty()
                    && version.minorVersion() == 1;
            return onlyChunked ? null : new Rejection(400, "a Transfer-Encoding that cannot be read");
        }
        if (lengths.size() > 1 || lengths.size() == 1 && !lengths.get(0).matches("[0-9]+")) {
            return new Rejection(400, "a Content-Length that cannot be read");
        }
        return lengths.size() == 1
                        && (lengths.get(0).length() > MAX_LENGTH_DIGITS
                                || Long.parseLong(lengths.get(0)) > MAX_BODY_BYTES)
                ? bodyTooLong()
                : null;
    }

    /** Why what the decoder read cannot be used; null if it can. */
    static Rejection validate(DecoderResult result) {
        if (result.isSuccess()) {
            return null;
        }
        return result.cause() instanceof TooLongHttpHeaderException
                ? new Rejection(431, "too long a head")
                : result.cause() instanceof TooLongHttpLineException
                        ? new Rejection(414, "too long a line")
                        : new Rejection(400, "no request that can be read");
    }

    static Rejection bodyTooLong() {
        return new Rejection(413, "a body holds 64 KiB at most");
    }

    private static boolean isToken(String name) {
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (!(c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || c >= '0' && c <= '9'
                    || "!#$%&'*+-.^_`|~".indexOf(c) >= 0)) {
                return false;
            }
        }
        return !name.isEmpty();
    }

    private static boolean isPrintable(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }
}
