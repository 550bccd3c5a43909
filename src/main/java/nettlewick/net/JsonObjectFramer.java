package nettlewick.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Cuts what discovery writes into JSON objects, on one line each or indented over several, wherever the bytes
 * are cut. Between objects only white space may stand; a line that ends there is a sign of life. Pure.
 */
final class JsonObjectFramer {
    /** One object may be so long, in bytes. */
    static final int MOST = 4 << 20;

    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inText;
    private boolean escaped;

    /**
     * Takes the next bytes in, and hands on each object that they complete.
     *
     * @return whether a line ended between objects, or an object did
     * @throws Fields.Bad for what is neither an object nor white space, and for an object that is too long
     */
    boolean take(byte[] bytes, Consumer<String> whole) {
        boolean word = false;
        for (byte b : bytes) {
            if (depth == 0 && b != '{') {
                if (b != ' ' && b != '\n' && b != '\r' && b != '\t') {
                    throw new JsonFields.InvalidFieldException(
                            "the list", "no object: " + (char) (b & 0xFF), "JSON objects");
                }
                word |= b == '\n';
                continue;
            }
            object.write(b);
            if (object.size() > MOST) {
                throw new JsonFields.InvalidFieldException("the list", "over " + MOST + " bytes", "shorter");
            }
            follow(b);
            if (depth == 0) {
                word = true;
                String text = object.toString(StandardCharsets.UTF_8);
                object.reset();
                whole.accept(text);
            }
        }
        return word;
    }

    private void follow(byte b) {
        if (inText) {
            inText = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inText = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
    }
}
