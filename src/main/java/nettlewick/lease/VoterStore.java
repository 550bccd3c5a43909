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

/** What a voter promised and accepted, on a disk that lasts: forced there before its answer leaves. */
final class VoterStore implements AutoCloseable {
    private static final String FILE = "voter.sqlite";
    private static final String[] TABLES = {
        "CREATE TABLE IF NOT EXISTS whose (list INTEGER, number INTEGER)",
        "CREATE TABLE IF NOT EXISTS register (duty TEXT PRIMARY KEY, promised INTEGER NOT NULL, "
                + "held INTEGER NOT NULL, version INTEGER NOT NULL, state BLOB NOT NULL) WITHOUT ROWID"
    };

    private final Database database;

    private VoterStore(Database database) {
        this.database = database;
    }

    static VoterStore open(Path folder) throws StoreException {
        VoterStore store = new VoterStore(Database.open(folder.resolve(FILE), false, "the voter's memory", name -> {}));
        try {
            store.database.change("made", () -> {}, () -> {
                store.database.tables(TABLES);
                return null;
            });
            return store;
        } catch (StoreException e) {
            store.close();
            throw e;
        }
    }

    /** Opens the store; a damaged file is put aside, as if its memory were lost. */
    static VoterStore openOrRecreate(Path folder) throws StoreException {
        try {
            VoterStore store = open(folder);
            store.load(0, -1);
            return store;
        } catch (StoreException e) {
            if (!e.damaged()) {
                throw e;
            }
            try {
                Files.move(folder.resolve(FILE), folder.resolve(FILE + ".damaged"), REPLACE_EXISTING);
                Files.deleteIfExists(folder.resolve(FILE + "-wal"));
                Files.deleteIfExists(folder.resolve(FILE + "-shm"));
            } catch (IOException io) {
                throw e;
            }
            return open(folder);
        }
    }

    /**
     * What this voter knew; null where the folder is of none that has voted in this list under this number.
     */
    Map<String, LeaseVoter.LeaseRecord> load(int list, int number) throws StoreException {
        return database.look(() -> {
            String whose = database.value("SELECT list || ' ' || number FROM whose");
            Map<String, LeaseVoter.LeaseRecord> registers = new TreeMap<>();
            try (PreparedStatement s = database.prepare("SELECT duty, promised, held, version, state FROM register");
                    ResultSet rows = s.executeQuery()) {
                while (rows.next()) {
                    registers.put(rows.getString(1), readRecord(rows));
                }
            }
            return (list + " " + number).equals(whose) ? registers : null;
        });
    }

    /** A voter without memory begins: nothing here is its. */
    void clear() throws StoreException {
        database.change(
                "emptied", () -> {}, () -> database.run("DELETE FROM whose") + database.run("DELETE FROM register"));
    }

    /**
     * From now on this voter votes. Danger: one that is started again before it has recovered would take an
     * empty folder for all that it ever promised.
     */
    void markVoting(int list, int number) throws StoreException {
        database.change(
                "written",
                () -> {},
                () -> database.run("DELETE FROM whose")
                        + database.run("INSERT INTO whose VALUES (?, ?)", list, number));
    }

    private static LeaseVoter.LeaseRecord readRecord(ResultSet rows) throws SQLException {
        LeaseVoter.LeaseRecord r = new LeaseVoter.LeaseRecord();
        r.promisedBallot = rows.getLong(2);
        r.acceptedBallot = rows.getLong(3);
        r.version = rows.getLong(4);
        r.state = rows.getBytes(5);
        return r;
    }

    /** Durable when it returns. */
    void save(Map<String, LeaseVoter.LeaseRecord> changed) throws StoreException {
        database.change("written", () -> {}, () -> {
            for (Map.Entry<String, LeaseVoter.LeaseRecord> e : changed.entrySet()) {
                LeaseVoter.LeaseRecord r = e.getValue();
                database.run(
                        "INSERT OR REPLACE INTO register VALUES (?, ?, ?, ?, ?)",
                        e.getKey(),
                        r.promisedBallot,
                        r.acceptedBallot,
                        r.version,
                        r.state);
            }
            return null;
        });
    }

    @Override
    public void close() {
        database.close();
    }
}
