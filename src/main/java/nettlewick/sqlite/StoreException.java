package nettlewick.sqlite;

/** The store cannot do what was asked, in one line. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1;
    private final boolean damaged;

    public StoreException(String message, Throwable cause, boolean damaged) {
        super(message, cause);
        this.damaged = damaged;
    }

    /** Whether the file itself is no longer a store. */
    public boolean damaged() {
        return damaged;
    }
}
