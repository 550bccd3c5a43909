package nettlewick.waiting;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.nio.file.Path;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.util.ArrayList;
import java.util.List;
import nettlewick.sqlite.Database;
import nettlewick.sqlite.StoreException;

/**
 * Stores jobs on disk. A job is recorded as accepted before the client is answered, as released before it is forwarded,
 * and as finished before the client is notified. Changes of one kind share a transaction. Confined to one thread.
 */
final class WaitStore implements AutoCloseable {
    private static final String FILE_NAME = "waiting.db";
    private static final String CREATE_TABLE = "CREATE TABLE IF NOT EXISTS job(id TEXT PRIMARY KEY, state INTEGER "
            + "NOT NULL, "
            + "job TEXT NOT NULL, changed REAL NOT NULL, site TEXT, attempts INTEGER NOT NULL, event "
            + "INTEGER NOT "
            + "NULL, fate TEXT, cause TEXT) WITHOUT ROWID";

    /** What is needed to forward a job and to answer its client. Stored as JSON. Times are Unix milliseconds. */
    record Job(
            @SerializedName("ask") DependencyTracker.JobSpec spec,
            @SerializedName("jobClass") String requestClass,
            @SerializedName("worth") double priorityWeight,
            double run,
            String method,
            String uri,
            String body,
            @SerializedName("key") String idempotencyKey,
            double slots,
            double memory,
            @SerializedName("hint") double costHint) {}

    /** A job and its state; {@code lastEvent} is the last event number that its watchers may have received. */
    record StoredJob(
            Job job,
            CrashRecovery.State state,
            double changedAt,
            String zone,
            int attempts,
            long lastEvent,
            String outcome,
            String cause) {}

    /** How a job finished. */
    record FinishedJob(String id, String outcome, String cause, long lastEvent) {}

    private final Database database;
    private final Gson gson = new Gson();

    private WaitStore(Database database) {
        this.database = database;
    }

    static WaitStore open(Path directory, Database.FaultPoint faultPoint) throws StoreException {
        WaitStore store = new WaitStore(
                Database.open(directory.resolve(FILE_NAME), false, "the store of waiting jobs", faultPoint));
        try {
            store.inTransaction(() -> store.database.createTables(CREATE_TABLE));
            return store;
        } catch (StoreException e) {
            store.close();
            throw e;
        }
    }

    private interface SqlTask {
        void run() throws java.sql.SQLException;
    }

    private void inTransaction(SqlTask task) throws StoreException {
        database.inTransaction("written", () -> {}, () -> {
            task.run();
            return null;
        });
    }

    private interface ParameterBinder<T> {
        void bind(PreparedStatement statement, T item) throws java.sql.SQLException;
    }

    /** Executes a statement for each item, all in one transaction. */
    private <T> void executeBatch(String sql, List<T> items, ParameterBinder<T> binder) throws StoreException {
        inTransaction(() -> {
            try (PreparedStatement statement = database.prepare(sql)) {
                for (T item : items) {
                    binder.bind(statement, item);
                    statement.addBatch();
                }
                statement.executeBatch();
            }
        });
    }

    /** Records accepted jobs, which then survive a crash. An id that exists already is an error of the caller. */
    void accept(List<Job> jobs, double now) throws StoreException {
        executeBatch("INSERT INTO job VALUES(?, 0, ?, ?, NULL, 0, 0, NULL, NULL)", jobs, (statement, job) -> {
            statement.setString(1, job.spec().id());
            statement.setString(2, gson.toJson(job));
            statement.setDouble(3, now);
        });
    }

    /**
     * Records that jobs are about to be forwarded. If that were recorded later, a crash could have a non-idempotent
     * request executed twice.
     */
    void release(List<String> ids, double now) throws StoreException {
        executeBatch(
                "UPDATE job SET state = 1, changed = ?, attempts = attempts + 1 WHERE id = ? AND state < 2",
                ids,
                (statement, id) -> {
                    statement.setDouble(1, now);
                    statement.setString(2, id);
                });
    }

    /** Records that a job was rejected, which proves that it was not executed: it waits again. */
    void returnToWaiting(String id, double now) throws StoreException {
        inTransaction(
                () -> database.execute("UPDATE job SET state = 0, changed = ? WHERE id = ? AND state = 1", now, id));
    }

    /** Records finished jobs; only the first outcome of a job is stored. */
    void finish(List<FinishedJob> finishedJobs, double now) throws StoreException {
        executeBatch(
                "UPDATE job SET state = 2, changed = ?, fate = ?, cause = ?, event = ? WHERE id = ? AND state " + "< 2",
                finishedJobs,
                (statement, job) -> {
                    statement.setDouble(1, now);
                    statement.setString(2, job.outcome());
                    statement.setString(3, job.cause());
                    statement.setLong(4, job.lastEvent());
                    statement.setString(5, job.id());
                });
    }

    /** Deletes jobs that finished before a time and returns their number. */
    int deleteFinishedBefore(double before) throws StoreException {
        return database.inTransaction(
                "written", () -> {}, () -> database.execute("DELETE FROM job WHERE state = 2 AND changed < ?", before));
    }

    /** All jobs, ordered by the time of their last change. */
    List<StoredJob> load() throws StoreException {
        return database.read(() -> {
            List<StoredJob> jobs = new ArrayList<>();
            try (PreparedStatement statement = database.prepare("SELECT state, job, changed, site, attempts, event, "
                            + "fate, cause "
                            + "FROM job ORDER BY changed, id");
                    ResultSet rows = statement.executeQuery()) {
                while (rows.next()) {
                    jobs.add(new StoredJob(
                            gson.fromJson(rows.getString(2), Job.class),
                            CrashRecovery.State.values()[rows.getInt(1)],
                            rows.getDouble(3),
                            rows.getString(4),
                            rows.getInt(5),
                            rows.getLong(6),
                            rows.getString(7),
                            rows.getString(8)));
                }
            } catch (JsonParseException e) {
                throw new IllegalArgumentException("cannot parse a stored job", e);
            }
            return jobs;
        });
    }

    @Override
    public void close() {
        database.close();
    }
}
