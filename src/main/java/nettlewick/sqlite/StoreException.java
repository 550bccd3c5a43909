package nettlewick.sqlite;

/** A database operation failed; the message is a single line for operators. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1;
    private final boolean damaged;

    /** @param damaged whether the file is corrupt or is not a SQLite database */
    public StoreException(String message, Throwable cause, boolean damaged) {
        super(message, cause);
        this.damaged = damaged;
    }

    /** Whether the file is corrupt or is not a SQLite database, so that retrying does not help. */
    public boolean isDamaged() {
        return damaged;
    }
}
