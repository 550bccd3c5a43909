package nettlewick.net;

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

/** Whether a request's head frames its body beyond doubt. What is not in order goes no further. */
final class FramingValidator {
    static final int BODY_MOST = 64 * 1024;
    private static final int DIGITS_MOST = 18;

    /** What is wrong, and the status for it. */
    record Refusal(int status, String message) {
        /** The whole answer, in ASCII; {@code last} says that the connection ends with it. */
        String text(boolean last) {
            return "HTTP/1.1 " + HttpResponseStatus.valueOf(status)
                    + "\r\nContent-Type: text/plain\r\nContent-Length: " + (message.length() + 1)
                    + (last ? "\r\nConnection: close" : "") + "\r\n\r\n" + message + "\n";
        }
    }

    private FramingValidator() {}

    /** Why the request is refused; null if it is not. */
    static Refusal of(HttpRequest request) {
        Refusal unread = of(request.decoderResult());
        if (unread != null) {
            return unread;
        }
        HttpVersion version = request.protocolVersion();
        if (version.majorVersion() != 1 || version.minorVersion() > 1) {
            return new Refusal(505, "HTTP/1.1 is spoken here");
        }
        HttpHeaders headers = request.headers();
        for (Map.Entry<String, String> header : headers) {
            // Danger: a name such as "Content-Length " is another header to us and may not be to others.
            if (!token(header.getKey()) || !printable(header.getValue())) {
                return new Refusal(400, "a header that cannot be read");
            }
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!codings.isEmpty()) {
            boolean plain = codings.size() == 1
                    && codings.get(0).equalsIgnoreCase("chunked")
                    && lengths.isEmpty()
                    && version.minorVersion() == 1;
            return plain ? null : new Refusal(400, "a Transfer-Encoding that cannot be read");
        }
        if (lengths.size() > 1 || lengths.size() == 1 && !lengths.get(0).matches("[0-9]+")) {
            return new Refusal(400, "a Content-Length that cannot be read");
        }
        return lengths.size() == 1
                        && (lengths.get(0).length() > DIGITS_MOST || Long.parseLong(lengths.get(0)) > BODY_MOST)
                ? tooLong()
                : null;
    }

    /** Why what was read cannot be used; null if it can. */
    static Refusal of(DecoderResult result) {
        if (result.isSuccess()) {
            return null;
        }
        return result.cause() instanceof TooLongHttpHeaderException
                ? new Refusal(431, "too long a head")
                : result.cause() instanceof TooLongHttpLineException
                        ? new Refusal(414, "too long a line")
                        : new Refusal(400, "no request that can be read");
    }

    static Refusal tooLong() {
        return new Refusal(413, "a body holds 64 KiB at most");
    }

    private static boolean token(String name) {
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

    private static boolean printable(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }
}
