package nettlewick.net.client;

import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.regex.Pattern;
import nettlewick.core.Request;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.endpoint.ForwardedRequest;
import nettlewick.net.format.NamedNumbers;

/**
 * Parses and checks the HTTP request of a client, for all frontends alike. An invalid one is answered here
 * and never reaches the coordinator.
 */
public final class RequestReader {
    private static final String REQUEST_PATH = "/api";
    /**
     * Responses are due this long before the client's deadline, which counts from when the client sent the request and
     * not from when it was read here.
     */
    private static final double DEADLINE_MARGIN_MILLIS = 20;

    private static final double MAX_DEADLINE_SECONDS = 3_600;
    private static final int MAX_ID_LENGTH = 256;
    private static final Pattern PLAIN_DECIMAL = Pattern.compile("\\d{1,15}(\\.\\d{0,15})?");

    private final PlatformConfig config;

    /** Creates a reader that checks requests against this configuration. */
    public RequestReader(PlatformConfig config) {
        this.config = config;
    }

    /**
     * A valid request, still without its caller.
     *
     * @param affinityKey names what the request is about; null for none
     * @param deadline when the response is due, in milliseconds
     * @param costHint the client's estimate of the cost
     * @param clientRetry whether the client says that it repeats the request
     */
    public record ParsedRequest(
            String id,
            String requestClass,
            String tenant,
            String affinityKey,
            double deadline,
            double slots,
            double memory,
            double costHint,
            boolean clientRetry,
            ForwardedRequest forwarded) {
        /** The same request with a deadline that is not later than this time, in milliseconds. */
        public ParsedRequest withDeadlineBy(double latestMillis) {
            return new ParsedRequest(
                    id,
                    requestClass,
                    tenant,
                    affinityKey,
                    Math.min(deadline, latestMillis),
                    slots,
                    memory,
                    costHint,
                    clientRetry,
                    forwarded);
        }

        /** The request, with its caller. */
        public Request toRequest(Request.Caller caller) {
            return new Request(
                    id,
                    requestClass,
                    tenant,
                    affinityKey,
                    deadline,
                    slots,
                    memory,
                    costHint,
                    clientRetry,
                    forwarded,
                    caller);
        }
    }

    /** Why a request is invalid, and with which status it is answered. */
    public static final class InvalidRequestException extends Exception {
        private static final long serialVersionUID = 1;
        private final int status;

        /** Creates the error from the status and the line that are sent to the client. */
        public InvalidRequestException(int status, String message) {
            super(message);
            this.status = status;
        }

        /** The HTTP status that the client gets. */
        public int status() {
            return status;
        }
    }

    /** Whether requests for endpoints are accepted at this path. */
    public static boolean isRequestPath(String path) {
        return path != null && (path.equals(REQUEST_PATH) || path.startsWith(REQUEST_PATH + "/"));
    }

    /**
     * Reads the body, parses the request and passes it on; an invalid one is answered here.
     *
     * @param receivedAtMillis when the last byte of the request arrived
     */
    public void read(HttpServerRequest request, double receivedAtMillis, Handler<ParsedRequest> consumer) {
        // Its length is limited by {@link ClientConnection}, which passes complete requests only.
        Buffer body = Buffer.buffer();
        request.exceptionHandler(e -> {});
        request.handler(body::appendBuffer);
        request.endHandler(v -> {
            // The server keeps the request, and with it these handlers, until its response is written.
            request.handler(null);
            request.endHandler(null);
            try {
                consumer.handle(parse(request.method(), request.uri(), request.headers(), body, receivedAtMillis));
            } catch (InvalidRequestException e) {
                reject(request, e.status(), e.getMessage());
            }
        });
    }

    /** Answers with a status and a line of text, and closes the connection. */
    public static void reject(HttpServerRequest request, int status, String message) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        response.putHeader("Connection", "close")
                .setStatusCode(status)
                .putHeader("Content-Type", "text/plain; charset=utf-8")
                .end(message + '\n');
    }

    /**
     * Checks the parts of a complete request, however it was received.
     *
     * @param receivedAtMillis when the last byte of the request arrived
     * @throws InvalidRequestException if a part is missing or invalid
     */
    public ParsedRequest parse(HttpMethod method, String uri, MultiMap headers, Buffer body, double receivedAtMillis)
            throws InvalidRequestException {
        String id = requireId(headers, "X-Request-Id");
        String requestClass = requireHeader(headers, "X-Class");
        if (!config.hasClass(requestClass)) {
            throw new InvalidRequestException(400, "unknown class in X-Class");
        }
        double seconds = parseNumber(requireHeader(headers, "X-Deadline"), "X-Deadline", MAX_DEADLINE_SECONDS);
        boolean hasIdempotencyKey = headers.contains("Idempotency-Key");
        String idempotencyKey = hasIdempotencyKey ? requireId(headers, "Idempotency-Key") : null;
        String costHint = headers.get("X-Cost-Hint");
        String extras = headers.get("X-Extras");
        Map<String, Double> extraValues = NamedNumbers.parse(extras == null ? "" : extras);
        double slots = extraValues.getOrDefault("slots", extraValues.getOrDefault("needs", 1.0));
        double memory = extraValues.getOrDefault("mem", extraValues.getOrDefault("memory", 0.0));
        if (slots < 0 || memory < 0) {
            throw new InvalidRequestException(400, "X-Extras holds a figure below 0");
        }
        return new ParsedRequest(
                id,
                requestClass,
                headers.get("X-Tenant"),
                userCookie(headers),
                receivedAtMillis + Math.max(0, seconds * 1000 - DEADLINE_MARGIN_MILLIS),
                slots,
                memory,
                costHint == null ? 0 : parseNumber(costHint, "X-Cost-Hint", 1e12) / 1000,
                "1".equals(headers.get("X-Retry")),
                new ForwardedRequest(method, requireAsciiUri(uri), body, idempotencyKey));
    }

    private static String requireAsciiUri(String uri) throws InvalidRequestException {
        // A URI is ASCII; anything else would be forwarded as other bytes than were received.
        if (!uri.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            throw new InvalidRequestException(400, "the path is not a URI");
        }
        return uri;
    }

    private static String requireHeader(MultiMap headers, String header) throws InvalidRequestException {
        if (headers.getAll(header).size() > 1) {
            throw new InvalidRequestException(400, header + " stands there more than once");
        }
        String value = headers.get(header);
        if (value == null || value.isBlank()) {
            throw new InvalidRequestException(400, header + " is missing");
        }
        return value;
    }

    /** A header that is forwarded unchanged, and so holds only what a header can carry. */
    private static String requireId(MultiMap headers, String header) throws InvalidRequestException {
        String value = requireHeader(headers, header);
        if (value.length() > MAX_ID_LENGTH || !value.chars().allMatch(c -> c >= ' ' && c < 0x7f)) {
            throw new InvalidRequestException(400, header + " is not an id");
        }
        return value;
    }

    private static double parseNumber(String text, String header, double max) throws InvalidRequestException {
        // Java would also read "5d", "0x1p3" and "1e9" as numbers; clients write plain decimals.
        double value = PLAIN_DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
        if (!(value >= 0 && value <= max)) {
            throw new InvalidRequestException(400, header + " is not a number from 0 to " + (long) max);
        }
        return value;
    }

    /** The cookie {@code user}, which names what the request is about; null if there is none. */
    private static String userCookie(MultiMap headers) {
        String cookies = headers.get("Cookie");
        if (cookies == null) {
            return null;
        }
        for (String cookie : cookies.split(";")) {
            String pair = cookie.strip();
            if (pair.startsWith("user=") && pair.length() > 5) {
                return pair.substring(5);
            }
        }
        return null;
    }
}
