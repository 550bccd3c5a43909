package nettlewick.ledger;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates requests between peers and their responses by HMAC-SHA256 with a shared key. A signature covers the
 * parts of the message, a nonce and, for requests, a timestamp, so that old messages cannot be replayed. Reads no
 * clock. Thread-safe.
 */
final class MessageAuthenticator {
    static final int MIN_KEY_BYTES = 32;
    /** How far the timestamp of a request may differ from the current time. */
    static final double TIME_WINDOW_MILLIS = 60_000;

    private static final int MAX_NONCES = 100_000;
    private static final int NONCE_LENGTH = 32;

    private final SecretKeySpec key;
    /** Nonces of accepted requests, oldest first, each with the time at which it may be forgotten. */
    private final Map<String, Double> nonceExpiries = new LinkedHashMap<>();

    MessageAuthenticator(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException("the key has " + key.length + " bytes; the minimum is " + MIN_KEY_BYTES);
        }
        this.key = new SecretKeySpec(key, "HmacSHA256");
    }

    private String hmac(byte[] body, String... parts) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(key);
            for (String part : parts) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                mac.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
                mac.update(bytes);
            }
            return HexFormat.of().formatHex(mac.doFinal(body));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Signs a request. */
    String signRequest(String uri, String nonce, double time) {
        return hmac(new byte[0], "call", uri, nonce, Long.toString((long) time));
    }

    /** Signs the response to the request with the nonce. */
    String signResponse(String nonce, int status, byte[] body) {
        return hmac(body, "answer", nonce, Integer.toString(status));
    }

    /** Whether a response is correctly signed and belongs to the request with the nonce. */
    boolean isValidResponse(String nonce, int status, byte[] body, String signature) {
        return constantTimeEquals(signResponse(nonce, status, body), signature);
    }

    /**
     * Returns why a request is rejected, or null: missing or wrong signature, timestamp out of range, or a nonce that
     * was used before. The texts are sent to the caller.
     */
    synchronized String requestError(String uri, String nonce, String time, String signature, double now) {
        if (nonce == null
                || nonce.length() != NONCE_LENGTH
                || time == null
                || !time.matches("\\d{1,15}")
                || signature == null) {
            return "not sealed";
        }
        double sentAt = Long.parseLong(time);
        if (!constantTimeEquals(signRequest(uri, nonce, sentAt), signature)) {
            return "a wrong seal";
        }
        if (Math.abs(now - sentAt) > TIME_WINDOW_MILLIS) {
            return "a call of another time";
        }
        nonceExpiries.values().removeIf(expiry -> expiry < now);
        if (nonceExpiries.containsKey(nonce)) {
            return "a call that was made before";
        }
        if (nonceExpiries.size() >= MAX_NONCES) {
            return "too many calls";
        }
        nonceExpiries.put(nonce, sentAt + 2 * TIME_WINDOW_MILLIS);
        return null;
    }

    private static boolean constantTimeEquals(String a, String b) {
        return b != null
                && MessageDigest.isEqual(a.getBytes(StandardCharsets.US_ASCII), b.getBytes(StandardCharsets.UTF_8));
    }
}
