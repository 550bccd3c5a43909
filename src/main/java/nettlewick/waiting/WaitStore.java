package nettlewick.waiting;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.nio.file.Path;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.util.ArrayList;
import java.util.List;
import nettlewick.sqlite.Database;
import nettlewick.sqlite.StoreException;

/**
 * Jobs that were accepted to wait, on a disk: accepted before the client is told, released before it is
 * handed in,
 * ended before the client is told. Several of a kind share a transaction. Belongs to one thread.
 */
final class WaitStore implements AutoCloseable {
    private static final String FILE = "waiting.db";
    private static final String TABLE = "CREATE TABLE IF NOT EXISTS job(id TEXT PRIMARY KEY, state INTEGER "
            + "NOT NULL, "
            + "job TEXT NOT NULL, changed REAL NOT NULL, site TEXT, attempts INTEGER NOT NULL, event "
            + "INTEGER NOT "
            + "NULL, fate TEXT, cause TEXT) WITHOUT ROWID";

    /** What is needed to hand a job in again, and to answer for it. Times are Unix milliseconds. */
    record Job(
            Plan.Ask ask,
            String jobClass,
            double worth,
            double run,
            String method,
            String uri,
            String body,
            String key,
            double slots,
            double memory,
            double hint) {}

    /** A job as it stands; {@code event} is the number of the last event that its watchers may have seen. */
    record Stored(
            Job job,
            Afterlife.State state,
            double changed,
            String site,
            int attempts,
            long event,
            String fate,
            String cause) {}

    /** How a job ended. */
    record Ended(String id, String fate, String cause, long event) {}

    private final Database database;
    private final Gson gson = new Gson();

    private WaitStore(Database database) {
        this.database = database;
    }

    static WaitStore open(Path folder, Database.FaultPoint point) throws StoreException {
        WaitStore store = new WaitStore(Database.open(folder.resolve(FILE), false, "the store of waiting jobs", point));
        try {
            store.change(() -> store.database.createTables(TABLE));
            return store;
        } catch (StoreException e) {
            store.close();
            throw e;
        }
    }

    private interface Change {
        void run() throws java.sql.SQLException;
    }

    private void change(Change change) throws StoreException {
        database.inTransaction("written", () -> {}, () -> {
            change.run();
            return null;
        });
    }

    private interface Row<T> {
        void fill(PreparedStatement s, T item) throws java.sql.SQLException;
    }

    /** One statement for each item, all in one transaction. */
    private <T> void each(String sql, List<T> items, Row<T> row) throws StoreException {
        change(() -> {
            try (PreparedStatement s = database.prepare(sql)) {
                for (T item : items) {
                    row.fill(s, item);
                    s.addBatch();
                }
                s.executeBatch();
            }
        });
    }

    /** From now on these jobs outlive the process; an id that is there already is a fault of the caller. */
    void accept(List<Job> jobs, double now) throws StoreException {
        each("INSERT INTO job VALUES(?, 0, ?, ?, NULL, 0, 0, NULL, NULL)", jobs, (s, job) -> {
            s.setString(1, job.ask().id());
            s.setString(2, gson.toJson(job));
            s.setDouble(3, now);
        });
    }

    /** These are about to be handed in. Danger: recorded later, a crash would hand a mark-submit in twice. */
    void release(List<String> ids, double now) throws StoreException {
        each(
                "UPDATE job SET state = 1, changed = ?, attempts = attempts + 1 WHERE id = ? AND state < 2",
                ids,
                (s, id) -> {
                    s.setDouble(1, now);
                    s.setString(2, id);
                });
    }

    /** The module has turned a job away, which proves that it never ran: it waits again. */
    void back(String id, double now) throws StoreException {
        change(() -> database.execute("UPDATE job SET state = 0, changed = ? WHERE id = ? AND state = 1", now, id));
    }

    /** These have their ends; the first end of a job stays. */
    void end(List<Ended> ends, double now) throws StoreException {
        each(
                "UPDATE job SET state = 2, changed = ?, fate = ?, cause = ?, event = ? WHERE id = ? AND state " + "< 2",
                ends,
                (s, end) -> {
                    s.setDouble(1, now);
                    s.setString(2, end.fate());
                    s.setString(3, end.cause());
                    s.setLong(4, end.event());
                    s.setString(5, end.id());
                });
    }

    /** Forgets jobs that ended before then. */
    int forget(double before) throws StoreException {
        return database.inTransaction(
                "written", () -> {}, () -> database.execute("DELETE FROM job WHERE state = 2 AND changed < ?", before));
    }

    /** All jobs, those that were accepted first at the beginning. */
    List<Stored> load() throws StoreException {
        return database.read(() -> {
            List<Stored> all = new ArrayList<>();
            try (PreparedStatement s = database.prepare("SELECT state, job, changed, site, attempts, event, "
                            + "fate, cause "
                            + "FROM job ORDER BY changed, id");
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    all.add(new Stored(
                            gson.fromJson(r.getString(2), Job.class),
                            Afterlife.State.values()[r.getInt(1)],
                            r.getDouble(3),
                            r.getString(4),
                            r.getInt(5),
                            r.getLong(6),
                            r.getString(7),
                            r.getString(8)));
                }
            } catch (JsonParseException e) {
                throw new IllegalArgumentException("a job that cannot be read", e);
            }
            return all;
        });
    }

    @Override
    public void close() {
        database.close();
    }
}
