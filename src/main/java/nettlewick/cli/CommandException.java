package nettlewick.cli;

/** Ends a command with a one-line message on standard error and an exit code. */
final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final int exitCode;

    CommandException(int exitCode, String message) {
        super(message.replaceAll("[\\r\\n]+", " "));
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
