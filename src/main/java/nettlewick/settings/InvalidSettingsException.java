package nettlewick.settings;

/** Settings that are not in order, in one line that names file, line, keyword and value. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1;
    private static final int LONGEST = 400;

    public InvalidSettingsException(SourceLocation place, String message) {
        super(line(place + ": " + message));
    }

    /** A keyword whose value is not what it has to be. */
    public static InvalidSettingsException value(SourceLocation place, String keyword, String value, String wanted) {
        return new InvalidSettingsException(
                place, keyword + " is " + (value.isEmpty() ? "empty" : value) + ", but has to be " + wanted);
    }

    private static String line(String text) {
        String flat = text.replaceAll("[\\r\\n]+", " ");
        return flat.length() > LONGEST ? flat.substring(0, LONGEST) + "..." : flat;
    }
}
