package nettlewick.cli;

/** Ends a command with one plain line and an exit code. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1;
    final int code;

    UsageException(int code, String line) {
        super(line.replaceAll("[\\r\\n]+", " "));
        this.code = code;
    }
}
