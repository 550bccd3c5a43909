package nettlewick.simulator;

/** Thrown for input that violates the simulator's protocol. The message is a single line. */
public final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message.replace('\n', ' ').replace('\r', ' '));
    }
}
