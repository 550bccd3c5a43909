package nettlewick.simulator;

/** Input that does not follow the simulator's protocol; the message is one line. */
public final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message.replace('\n', ' ').replace('\r', ' '));
    }
}
