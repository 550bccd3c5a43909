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
 * What shows that a call, or its answer, comes from somebody who has the shared key, and is not an old one
 * played
 * again: HMAC-SHA256 over its parts, a nonce of its own, and a time. Reads no clock. Safe for any thread.
 */
final class MessageAuthenticator {
    static final int MIN_KEY_BYTES = 32;
    /** A call counts this many milliseconds around its time. */
    static final double TIME_WINDOW_MILLIS = 60_000;

    private static final int MAX_NONCES = 100_000;
    private static final int NONCE_LENGTH = 32;

    private final SecretKeySpec key;
    /** Nonces seen, the oldest first, each with when it may be forgotten. */
    private final Map<String, Double> nonceExpiries = new LinkedHashMap<>();

    MessageAuthenticator(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException("the key has " + key.length + " bytes, but needs " + MIN_KEY_BYTES);
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

    /** The seal of a call. */
    String signRequest(String uri, String nonce, double time) {
        return hmac(new byte[0], "call", uri, nonce, Long.toString((long) time));
    }

    /** The seal of the answer to the call with that nonce. */
    String signResponse(String nonce, int status, byte[] body) {
        return hmac(body, "answer", nonce, Integer.toString(status));
    }

    /** Whether an answer is the one to this call. */
    boolean isValidResponse(String nonce, int status, byte[] body, String signature) {
        return constantTimeEquals(signResponse(nonce, status, body), signature);
    }

    /** Why a call is turned away, or null: wrong seal, too old, from the future, or seen before. */
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
