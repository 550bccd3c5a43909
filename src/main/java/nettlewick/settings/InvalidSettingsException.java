package nettlewick.settings;

/** Thrown for invalid settings. The message is a single line that names the file, line, keyword and value. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1;
    private static final int MAX_MESSAGE_CHARS = 400;

    /** @param message the message without the location, which is prepended */
    public InvalidSettingsException(SourceLocation location, String message) {
        super(toSingleLine(location + ": " + message));
    }

    /** The error for an invalid value; {@code expected} completes "KEYWORD is VALUE, but has to be". */
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
