package nettlewick.net.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import nettlewick.net.format.JsonFields;

/**
 * Splits the byte stream from discovery into JSON objects, each on one line or indented over several, regardless of how
 * the bytes arrive. Only whitespace may separate objects; a line that ends there shows that the service is alive. Does
 * no I/O.
 */
final class JsonObjectFramer {
    /** Maximum length of one object, in bytes. */
    static final int MAX_OBJECT_BYTES = 4 << 20;

    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /**
     * Takes the next bytes and passes on each object that they complete.
     *
     * @return whether a line between objects, or an object, has ended
     * @throws JsonFields.InvalidFieldException for anything that is neither an object nor whitespace, and
     *     for an object that is too long
     */
    boolean feed(byte[] bytes, Consumer<String> consumer) {
        boolean messageEnded = false;
        for (byte b : bytes) {
            if (depth == 0 && b != '{') {
                if (b != ' ' && b != '\n' && b != '\r' && b != '\t') {
                    throw new JsonFields.InvalidFieldException(
                            "the list", "not an object: " + (char) (b & 0xFF), "JSON objects");
                }
                messageEnded |= b == '\n';
                continue;
            }
            object.write(b);
            if (object.size() > MAX_OBJECT_BYTES) {
                throw new JsonFields.InvalidFieldException(
                        "the list", "over " + MAX_OBJECT_BYTES + " bytes", "a shorter object");
            }
            trackNesting(b);
            if (depth == 0) {
                messageEnded = true;
                String text = object.toString(StandardCharsets.UTF_8);
                object.reset();
                consumer.accept(text);
            }
        }
        return messageEnded;
    }

    private void trackNesting(byte b) {
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
    }
}
