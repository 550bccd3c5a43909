package nettlewick.lease;

import static java.nio.file.StandardCopyOption.REPLACE_EXISTING;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.Map;
import java.util.TreeMap;
import nettlewick.sqlite.Database;
import nettlewick.sqlite.StoreException;

/** A voter's records in a SQLite file: durable when a method returns. Belongs to one thread. */
final class VoterStore implements AutoCloseable {
    private static final String FILE_NAME = "voter.sqlite";
    private static final String[] TABLES = {
        "CREATE TABLE IF NOT EXISTS whose (list INTEGER, number INTEGER)",
        "CREATE TABLE IF NOT EXISTS register (duty TEXT PRIMARY KEY, promised INTEGER NOT NULL, "
                + "held INTEGER NOT NULL, version INTEGER NOT NULL, state BLOB NOT NULL) WITHOUT ROWID"
    };
    private static final String SELECT_RECORDS = "SELECT duty, promised, held, version, state FROM register";
    /** Not a valid dispatcher number. */
    private static final int NO_DISPATCHER = -1;

    private final Database database;

    private VoterStore(Database database) {
        this.database = database;
    }

    static VoterStore open(Path folder) throws StoreException {
        VoterStore store =
                new VoterStore(Database.open(folder.resolve(FILE_NAME), false, "the voter store", name -> {}));
        try {
            store.database.inTransaction("made", () -> {}, () -> {
                store.database.createTables(TABLES);
                return null;
            });
            return store;
        } catch (StoreException e) {
            store.close();
            throw e;
        }
    }

    /** Opens the store. A damaged file is renamed and replaced by an empty one, so that the voter has no records. */
    static VoterStore openOrRecreate(Path folder) throws StoreException {
        try {
            VoterStore store = open(folder);
            store.load(0, NO_DISPATCHER);
            return store;
        } catch (StoreException e) {
            if (!e.isDamaged()) {
                throw e;
            }
            try {
                Files.move(folder.resolve(FILE_NAME), folder.resolve(FILE_NAME + ".damaged"), REPLACE_EXISTING);
                Files.deleteIfExists(folder.resolve(FILE_NAME + "-wal"));
                Files.deleteIfExists(folder.resolve(FILE_NAME + "-shm"));
            } catch (IOException moveFailed) {
                e.addSuppressed(moveFailed);
                throw e;
            }
            return open(folder);
        }
    }

    /**
     * Returns the records by lease name, or null if the store was not written by a voter with this number in this
     * membership, or by one that had not started to vote.
     */
    Map<String, LeaseRecord> load(int membershipHash, int dispatcher) throws StoreException {
        return database.read(() -> {
            String owner = database.queryFirst("SELECT list || ' ' || number FROM whose");
            Map<String, LeaseRecord> records = new TreeMap<>();
            try (PreparedStatement select = database.prepare(SELECT_RECORDS);
                    ResultSet rows = select.executeQuery()) {
                while (rows.next()) {
                    records.put(rows.getString(1), readRecord(rows));
                }
            }
            return (membershipHash + " " + dispatcher).equals(owner) ? records : null;
        });
    }

    private static LeaseRecord readRecord(ResultSet rows) throws SQLException {
        return LeaseRecord.stored(rows.getLong(2), rows.getLong(3), rows.getLong(4), rows.getBytes(5));
    }

    /** Deletes all records, for a voter that starts without any. */
    void clear() throws StoreException {
        database.inTransaction(
                "emptied",
                () -> {},
                () -> database.execute("DELETE FROM whose") + database.execute("DELETE FROM register"));
    }

    /**
     * Marks the store as belonging to a voting voter. Until then its records are incomplete, and a restarted voter must
     * not mistake them for everything that it ever promised.
     */
    void markVoting(int membershipHash, int dispatcher) throws StoreException {
        database.inTransaction(
                "written",
                () -> {},
                () -> database.execute("DELETE FROM whose")
                        + database.execute("INSERT INTO whose VALUES (?, ?)", membershipHash, dispatcher));
    }

    /** Stores these records, without their grants, in place of earlier ones. */
    void save(Map<String, LeaseRecord> changed) throws StoreException {
        database.inTransaction("written", () -> {}, () -> {
            for (Map.Entry<String, LeaseRecord> entry : changed.entrySet()) {
                LeaseRecord changedRecord = entry.getValue();
                database.execute(
                        "INSERT OR REPLACE INTO register VALUES (?, ?, ?, ?, ?)",
                        entry.getKey(),
                        changedRecord.promisedBallot(),
                        changedRecord.acceptedBallot(),
                        changedRecord.version(),
                        changedRecord.state());
            }
            return null;
        });
    }

    @Override
    public void close() {
        database.close();
    }
}
