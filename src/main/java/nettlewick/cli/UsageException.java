package nettlewick.cli;

/** Ends a command with one line on standard error and an exit code. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final int exitCode;

    UsageException(int exitCode, String line) {
        super(line.replaceAll("[\\r\\n]+", " "));
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
