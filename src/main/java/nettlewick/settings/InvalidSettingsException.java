package nettlewick.settings;

/** Settings that are invalid; the message is one line that names file, line, keyword and value. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1;
    private static final int MAX_MESSAGE_CHARS = 400;

    /** @param message without the location, which is put before it */
    public InvalidSettingsException(SourceLocation location, String message) {
        super(toSingleLine(location + ": " + message));
    }

    /** A keyword whose value is invalid; {@code expected} ends the sentence "... has to be". */
    public static InvalidSettingsException invalidValue(
            SourceLocation location, String keyword, String value, String expected) {
        return new InvalidSettingsException(
                location, keyword + " is " + (value.isEmpty() ? "empty" : value) + ", but has to be " + expected);
    }

    private static String toSingleLine(String text) {
        String flat = text.replaceAll("[\\r\\n]+", " ");
        return flat.length() > MAX_MESSAGE_CHARS ? flat.substring(0, MAX_MESSAGE_CHARS) + "..." : flat;
    }
}
