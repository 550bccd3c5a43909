package nettlewick.sqlite;

/** A database operation failed; the message is one line for operators. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1;
    private final boolean damaged;

    /** @param damaged whether the file itself is corrupt or no database */
    public StoreException(String message, Throwable cause, boolean damaged) {
        super(message, cause);
        this.damaged = damaged;
    }

    /** Whether the file itself is corrupt or no database, so that repeating the operation does not help. */
    public boolean isDamaged() {
        return damaged;
    }
}
