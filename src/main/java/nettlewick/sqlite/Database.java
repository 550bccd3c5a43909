package nettlewick.sqlite;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import org.sqlite.SQLiteConfig;
import org.sqlite.SQLiteErrorCode;

/**
 * One SQLite file in WAL mode. Several processes may open it; one object belongs to one thread. What {@link #inTransaction}
 * does is one transaction, and durable when it returns.
 */
public final class Database implements AutoCloseable {
    /** How long to wait for another process's transaction. */
    private static final int BUSY_TIMEOUT_MILLIS = 5000;

    /** Work on the database that returns a result. */
    public interface Work<T> {
        /** Does the work. */
        T run() throws SQLException, IOException;
    }

    /** Called at points where tests inject disk faults: {@code open}, {@code commit}, {@code committed}. */
    public interface FaultPoint {
        /** @throws IOException the injected fault */
        void reach(String name) throws IOException;
    }

    private final String description;
    private final Connection connection;
    private final FaultPoint faultPoint;

    private Database(String description, Connection connection, FaultPoint faultPoint) {
        this.description = description;
        this.connection = connection;
        this.faultPoint = faultPoint;
    }

    /**
     * Opens a file. Unless it is read only, the file and its folder are created where they do not exist.
     *
     * @param what the file's name in messages, such as "the ledger"
     */
    public static Database open(Path file, boolean readOnly, String description, FaultPoint faultPoint)
            throws StoreException {
        SQLiteConfig config = new SQLiteConfig();
        config.setJournalMode(SQLiteConfig.JournalMode.WAL);
        config.setSynchronous(SQLiteConfig.SynchronousMode.FULL);
        config.setTransactionMode(SQLiteConfig.TransactionMode.IMMEDIATE);
        config.setBusyTimeout(BUSY_TIMEOUT_MILLIS);
        config.setReadOnly(readOnly);
        try {
            if (!readOnly) {
                Files.createDirectories(file.toAbsolutePath().getParent());
                faultPoint.reach("open");
            }
            return new Database(description, config.createConnection("jdbc:sqlite:" + file), faultPoint);
        } catch (SQLException e) {
            throw failure(description, "opened", e);
        } catch (IOException e) {
            throw new StoreException("the folder of " + description + " cannot be used: " + e, e, false);
        }
    }

    private static StoreException failure(String description, String action, SQLException e) {
        int code = e.getErrorCode() & 0xff;
        boolean damaged = code == SQLiteErrorCode.SQLITE_CORRUPT.code || code == SQLiteErrorCode.SQLITE_NOTADB.code;
        return new StoreException(description + " cannot be " + action + ": " + e.getMessage(), e, damaged);
    }

    /**
     * Runs work as one transaction.
     *
     * @param done what was attempted, as a participle for the message
     * @param undo restores the caller's own state where the transaction fails
     */
    public <T> T inTransaction(String action, Runnable onRollback, Work<T> work) throws StoreException {
        try {
            connection.setAutoCommit(false);
            try {
                T result = work.run();
                faultPoint.reach("commit");
                connection.commit();
                faultPoint.reach("committed");
                return result;
            } catch (SQLException | IOException | RuntimeException | Error e) {
                onRollback.run();
                connection.rollback();
                throw e;
            } finally {
                connection.setAutoCommit(true);
            }
        } catch (SQLException e) {
            throw failure(description, action, e);
        } catch (IOException e) {
            throw new StoreException(description + " cannot be " + action + ": " + e.getMessage(), e, false);
        }
    }

    /** Runs work that only reads. Values that cannot be parsed count as damage. */
    public <T> T read(Work<T> work) throws StoreException {
        try {
            return work.run();
        } catch (SQLException e) {
            throw failure(description, "read", e);
        } catch (IOException | IllegalArgumentException e) {
            throw new StoreException(description + " cannot be read: " + e.getMessage(), e, true);
        }
    }

    /** Runs statements that create tables. */
    public void createTables(String... statements) throws SQLException {
        try (Statement sql = connection.createStatement()) {
            for (String statement : statements) {
                sql.execute(statement);
            }
        }
    }

    /** A statement with its values set; the caller closes it. */
    public PreparedStatement prepare(String sql, Object... values) throws SQLException {
        PreparedStatement s = connection.prepareStatement(sql);
        for (int i = 0; i < values.length; i++) {
            s.setObject(i + 1, values[i]);
        }
        return s;
    }

    /** Runs one statement; returns how many rows it changed. */
    public int execute(String sql, Object... values) throws SQLException {
        try (PreparedStatement s = prepare(sql, values)) {
            return s.executeUpdate();
        }
    }

    /** The first value of the first row, or null. */
    public String queryFirst(String sql, Object... values) throws SQLException {
        try (PreparedStatement s = prepare(sql, values);
                ResultSet r = s.executeQuery()) {
            return r.next() ? r.getString(1) : null;
        }
    }

    @Override
    public void close() {
        try {
            connection.close();
        } catch (SQLException ignored) {
            // What was committed is durable.
        }
    }
}
