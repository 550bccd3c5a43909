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
final class MessageSeal {
    static final int KEY_LEAST = 32;
    /** A call counts this many milliseconds around its time. */
    static final double WINDOW = 60_000;

    private static final int NONCES_MOST = 100_000;
    private static final int NONCE_LENGTH = 32;

    private final SecretKeySpec key;
    /** Nonces seen, the oldest first, each with when it may be forgotten. */
    private final Map<String, Double> seen = new LinkedHashMap<>();

    MessageSeal(byte[] key) {
        if (key.length < KEY_LEAST) {
            throw new IllegalArgumentException("the key has " + key.length + " bytes, but needs " + KEY_LEAST);
        }
        this.key = new SecretKeySpec(key, "HmacSHA256");
    }

    private String of(byte[] body, String... parts) {
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
    String call(String uri, String nonce, double time) {
        return of(new byte[0], "call", uri, nonce, Long.toString((long) time));
    }

    /** The seal of the answer to the call with that nonce. */
    String answer(String nonce, int status, byte[] body) {
        return of(body, "answer", nonce, Integer.toString(status));
    }

    /** Whether an answer is the one to this call. */
    boolean fits(String nonce, int status, byte[] body, String seal) {
        return same(answer(nonce, status, body), seal);
    }

    /** Why a call is turned away, or null: wrong seal, too old, from the future, or seen before. */
    synchronized String fault(String uri, String nonce, String time, String seal, double now) {
        if (nonce == null
                || nonce.length() != NONCE_LENGTH
                || time == null
                || !time.matches("\\d{1,15}")
                || seal == null) {
            return "not sealed";
        }
        double at = Long.parseLong(time);
        if (!same(call(uri, nonce, at), seal)) {
            return "a wrong seal";
        }
        if (Math.abs(now - at) > WINDOW) {
            return "a call of another time";
        }
        seen.values().removeIf(until -> until < now);
        if (seen.containsKey(nonce)) {
            return "a call that was made before";
        }
        if (seen.size() >= NONCES_MOST) {
            return "too many calls";
        }
        seen.put(nonce, at + 2 * WINDOW);
        return null;
    }

    private static boolean same(String a, String b) {
        return b != null
                && MessageDigest.isEqual(a.getBytes(StandardCharsets.US_ASCII), b.getBytes(StandardCharsets.UTF_8));
    }
}
