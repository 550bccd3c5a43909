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
 * One SQLite file in WAL mode. Several processes may open the same file; each instance belongs to one thread. Changes
 * made by {@link #inTransaction} are durable when it returns.
 */
public final class Database implements AutoCloseable {
    /** How long to wait for a lock that another process holds. */
    private static final int BUSY_TIMEOUT_MILLIS = 5000;

    /** Database work that returns a result. */
    public interface Work<T> {
        /** Executes the work. */
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
     * Opens a file. Unless it is read-only, the file and its folder are created if they do not exist.
     *
     * @param description the file's name in error messages, such as "the ledger"
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
     * Runs work in one transaction, which is rolled back if the work or the commit fails.
     *
     * @param action     past participle that completes "cannot be ..." in error messages
     * @param onRollback resets the caller's in-memory state if the transaction fails
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

    /** Runs read-only work. Values that cannot be parsed are reported as damage. */
    public <T> T read(Work<T> work) throws StoreException {
        try {
            return work.run();
        } catch (SQLException e) {
            throw failure(description, "read", e);
        } catch (IOException | IllegalArgumentException e) {
            throw new StoreException(description + " cannot be read: " + e.getMessage(), e, true);
        }
    }

    /** Executes statements that create tables. */
    public void createTables(String... statements) throws SQLException {
        try (Statement sql = connection.createStatement()) {
            for (String statement : statements) {
                sql.execute(statement);
            }
        }
    }

    /** Prepares a statement with its parameters set; the caller closes it. */
    public PreparedStatement prepare(String sql, Object... values) throws SQLException {
        PreparedStatement s = connection.prepareStatement(sql);
        for (int i = 0; i < values.length; i++) {
            s.setObject(i + 1, values[i]);
        }
        return s;
    }

    /** Executes one statement and returns the number of rows that it changed. */
    public int execute(String sql, Object... values) throws SQLException {
        try (PreparedStatement s = prepare(sql, values)) {
            return s.executeUpdate();
        }
    }

    /** Returns the first column of the first row, or null if there is no row. */
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
            // Committed transactions are already durable.
        }
    }
}
