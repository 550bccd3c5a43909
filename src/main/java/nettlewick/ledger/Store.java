package nettlewick.ledger;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import nettlewick.sqlite.Database;
import nettlewick.sqlite.Database.Work;
import nettlewick.sqlite.StoreException;

/**
 * The entries on disk: one SQLite file in WAL mode. Several processes may open it, each with its own stores; one store
 * belongs to one thread. What a method changes is one transaction, durable when the method returns.
 */
final class Store implements AutoCloseable {
    static final String FILE_NAME = "ledger.db";
    private static final int SCHEMA_VERSION = 1;
    private static final String[] TABLES = {
        "CREATE TABLE IF NOT EXISTS meta(name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID",
        "CREATE TABLE IF NOT EXISTS origin(id INTEGER PRIMARY KEY, dispatcher TEXT NOT NULL, life INTEGER "
                + "NOT NULL, "
                + "quarantine TEXT, UNIQUE(dispatcher, life))",
        "CREATE TABLE IF NOT EXISTS entry(origin INTEGER NOT NULL, number INTEGER NOT NULL, kind INTEGER "
                + "NOT NULL, "
                + "at REAL NOT NULL, target TEXT, bytes BLOB, hash BLOB NOT NULL, PRIMARY KEY(origin, number)) "
                + "WITHOUT ROWID",
        "CREATE INDEX IF NOT EXISTS corrected ON entry(target) WHERE target IS NOT NULL",
        "CREATE TABLE IF NOT EXISTS life(life INTEGER PRIMARY KEY, started REAL NOT NULL, settled REAL NOT " + "NULL)",
        "CREATE TABLE IF NOT EXISTS mark(period TEXT PRIMARY KEY, until REAL NOT NULL) WITHOUT ROWID",
        "CREATE TABLE IF NOT EXISTS batch(export TEXT NOT NULL, number INTEGER NOT NULL, ranges TEXT NOT "
                + "NULL, "
                + "entries INTEGER NOT NULL, delivered INTEGER NOT NULL, PRIMARY KEY(export, number)) WITHOUT "
                + "ROWID",
        "CREATE TABLE IF NOT EXISTS cut(export TEXT NOT NULL, life INTEGER NOT NULL, upto INTEGER NOT NULL, "
                + "PRIMARY KEY(export, life)) WITHOUT ROWID",
        "CREATE TABLE IF NOT EXISTS archive(period TEXT PRIMARY KEY, file TEXT NOT NULL, sum TEXT NOT NULL, "
                + "entries INTEGER NOT NULL) WITHOUT ROWID"
    };

    /** The last entry of a chain: its number and hash. */
    record Head(long number, byte[] hash) {
        static final Head NONE = new Head(0, Entry.INITIAL_HASH);

        boolean matches(Head other) {
            return number == other.number && Arrays.equals(hash, other.hash);
        }
    }

    /** An entry of a chain; {@code bytes} is null if the entry has been pruned. */
    record Row(long number, byte[] bytes, byte[] hash) {}

    /** A batch of an export, which never changes; its entries are those of the ranges, in order. */
    record Batch(String export, long number, List<Range> ranges, long entries, boolean delivered) {}

    /** Entries of one incarnation, both ends included. */
    record Range(long incarnation, long from, long to) {
        private static List<Range> parse(String text) {
            return Arrays.stream(text.split(" "))
                    .map(word -> {
                        String[] n = word.split(":");
                        return new Range(Long.parseLong(n[0]), Long.parseLong(n[1]), Long.parseLong(n[2]));
                    })
                    .toList();
        }

        @Override
        public String toString() {
            return incarnation + ":" + from + ":" + to;
        }
    }

    private final Path folder;
    private final Database database;
    private final FaultInjection faults;
    private final Map<ChainOrigin, Integer> originIds = new HashMap<>();
    private final Map<ChainOrigin, Head> heads = new HashMap<>();
    private String dispatcher;

    private Store(Path folder, Database database, FaultInjection faults) {
        this.folder = folder;
        this.database = database;
        this.faults = faults;
    }

    /** Opens the store of a folder for writing; creates it if it does not exist. */
    static Store open(Path folder, String dispatcher, FaultInjection faults) throws StoreException {
        Store store = connect(folder, false, faults);
        try {
            store.initialize(dispatcher);
            return store;
        } catch (StoreException e) {
            store.close();
            throw e;
        }
    }

    /** Opens an existing store for writing, as the dispatcher that it belongs to. */
    static Store open(Path folder) throws StoreException {
        if (!Files.exists(folder.resolve(FILE_NAME))) {
            throw new StoreException("no ledger in " + folder, null, false);
        }
        return open(folder, null, FaultInjection.NONE);
    }

    /** Opens an existing store read-only, also while other processes write to it. */
    static Store read(Path folder) throws StoreException {
        if (!Files.exists(folder.resolve(FILE_NAME))) {
            throw new StoreException("no ledger in " + folder, null, false);
        }
        Store store = connect(folder, true, FaultInjection.NONE);
        store.dispatcher = store.meta("dispatcher");
        return store;
    }

    private static Store connect(Path folder, boolean readOnly, FaultInjection faults) throws StoreException {
        return new Store(folder, Database.open(folder.resolve(FILE_NAME), readOnly, "the ledger", faults::at), faults);
    }

    private void initialize(String name) throws StoreException {
        inTransaction("opened", () -> {
            database.createTables(TABLES);
            String version = queryFirst("SELECT value FROM meta WHERE name = 'version'");
            if (version == null) {
                execute("INSERT INTO meta VALUES('version', ?)", Integer.toString(SCHEMA_VERSION));
            } else if (Integer.parseInt(version) != SCHEMA_VERSION) {
                throw new IOException(
                        "its schema version is " + version + ", but this program supports version " + SCHEMA_VERSION);
            }
            dispatcher = queryFirst("SELECT value FROM meta WHERE name = 'dispatcher'");
            if (dispatcher == null) {
                if (name == null) {
                    throw new IOException("it has not been initialized by a dispatcher");
                }
                execute("INSERT INTO meta VALUES('dispatcher', ?)", name);
                dispatcher = name;
            } else if (name != null && !name.equals(dispatcher)) {
                throw new IOException("it is the ledger of " + dispatcher + ", not of " + name);
            }
            return null;
        });
    }

    /** The dispatcher that the store belongs to. */
    String dispatcher() {
        return dispatcher;
    }

    Path folder() {
        return folder;
    }

    private <T> T inTransaction(String action, Work<T> work) throws StoreException {
        return database.inTransaction(
                action,
                () -> {
                    heads.clear();
                    originIds.clear();
                },
                work);
    }

    private <T> T query(Work<T> work) throws StoreException {
        return database.read(work);
    }

    private PreparedStatement prepare(String sql, Object... values) throws SQLException {
        return database.prepare(sql, values);
    }

    private int execute(String sql, Object... values) throws SQLException {
        return database.execute(sql, values);
    }

    private String queryFirst(String sql, Object... values) throws SQLException {
        return database.queryFirst(sql, values);
    }

    private String meta(String name) throws StoreException {
        return query(() -> queryFirst("SELECT value FROM meta WHERE name = ?", name));
    }

    // Incarnations and chains

    /**
     * Starts an incarnation of this dispatcher. Its number is the time in Unix seconds, or the largest known number
     * plus one if that is more.
     */
    ChainOrigin beginIncarnation(double now) throws StoreException {
        return inTransaction("written", () -> {
            String last = queryFirst(
                    "SELECT max(life) FROM (SELECT life FROM origin WHERE dispatcher = ? UNION "
                            + "ALL "
                            + "SELECT life FROM life)",
                    dispatcher);
            long incarnation = Math.max((long) (now / 1000), last == null ? 1 : Long.parseLong(last) + 1);
            execute("INSERT INTO life VALUES(?, ?, ?)", incarnation, now, 0);
            return new ChainOrigin(dispatcher, incarnation);
        });
    }

    private int originId(ChainOrigin origin, boolean create) throws SQLException {
        Integer cached = originIds.get(origin);
        if (cached != null) {
            return cached;
        }
        String id = queryFirst(
                "SELECT id FROM origin WHERE dispatcher = ? AND life = ?", origin.dispatcher(), origin.incarnation());
        if (id == null && create) {
            execute("INSERT INTO origin(dispatcher, life) VALUES(?, ?)", origin.dispatcher(), origin.incarnation());
            id = queryFirst("SELECT last_insert_rowid()");
        }
        if (id == null) {
            return -1;
        }
        originIds.put(origin, Integer.parseInt(id));
        return Integer.parseInt(id);
    }

    private Head queryHead(ChainOrigin origin) throws SQLException {
        int id = originId(origin, false);
        try (PreparedStatement s = prepare(
                        "SELECT number, hash FROM entry WHERE origin = ? ORDER BY number " + "DESC LIMIT 1", id);
                ResultSet r = s.executeQuery()) {
            return r.next() ? new Head(r.getLong(1), r.getBytes(2)) : Head.NONE;
        }
    }

    /** Returns the head of an origin's chain. */
    Head head(ChainOrigin origin) throws StoreException {
        return query(() -> queryHead(origin));
    }

    /** Returns the heads of all chains. */
    Map<ChainOrigin, Head> heads() throws StoreException {
        return query(() -> {
            Map<ChainOrigin, Head> all = new TreeMap<>();
            try (PreparedStatement s = prepare("SELECT dispatcher, life FROM origin");
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    all.put(new ChainOrigin(r.getString(1), r.getLong(2)), Head.NONE);
                }
            }
            for (Map.Entry<ChainOrigin, Head> e : all.entrySet()) {
                e.setValue(queryHead(e.getKey()));
            }
            return all;
        });
    }

    /** The last number that is held of each origin, for a close. */
    private Map<ChainOrigin, Long> lastNumbers() throws SQLException {
        Map<ChainOrigin, Long> lastNumbers = new TreeMap<>();
        try (PreparedStatement s = prepare("SELECT dispatcher, life, (SELECT max(number) FROM entry "
                        + "WHERE entry.origin = origin.id) FROM origin");
                ResultSet r = s.executeQuery()) {
            while (r.next()) {
                lastNumbers.put(new ChainOrigin(r.getString(1), r.getLong(2)), r.getLong(3));
            }
        }
        return lastNumbers;
    }

    /**
     * Appends entries to a chain of this dispatcher in one transaction. The head is cached, since only one process
     * writes a chain.
     *
     * @return the number of the last entry
     */
    long append(ChainOrigin own, List<Entry> drafts) throws StoreException {
        return inTransaction("written", () -> {
            faults.at("append");
            insert(own, drafts);
            return heads.get(own).number();
        });
    }

    private void insert(ChainOrigin own, List<Entry> drafts) throws SQLException {
        Head head = heads.get(own);
        head = head == null ? queryHead(own) : head;
        int id = originId(own, true);
        try (PreparedStatement s = database.prepare("INSERT INTO entry VALUES(?, ?, ?, ?, ?, ?, " + "?)")) {
            for (Entry draft : drafts) {
                Entry entry = draft.withRef(new EntryRef(own, head.number() + 1));
                byte[] bytes = entry.toBytes();
                head = new Head(entry.ref().number(), Entry.chainHash(head.hash(), bytes));
                addRow(s, id, entry, bytes, head.hash());
            }
            s.executeBatch();
        }
        heads.put(own, head);
    }

    private static void addRow(PreparedStatement s, int id, Entry entry, byte[] bytes, byte[] hash)
            throws SQLException {
        s.setInt(1, id);
        s.setLong(2, entry.ref().number());
        s.setInt(3, entry.kind().ordinal());
        s.setDouble(4, entry.timeMillis());
        s.setString(5, entry.target() == null ? null : entry.target().toString());
        s.setBytes(6, bytes);
        s.setBytes(7, hash);
        s.addBatch();
    }

    /**
     * Appends entries of another dispatcher's chain, whose hashes the caller has verified.
     *
     * @return false if the chain has another head than expected, or is quarantined
     */
    boolean merge(ChainOrigin origin, Head expectedHead, List<Row> rows) throws StoreException {
        return inTransaction("written", () -> {
            if (!queryHead(origin).matches(expectedHead) || quarantineReason(origin) != null) {
                return false;
            }
            int id = originId(origin, true);
            try (PreparedStatement s = database.prepare("INSERT INTO entry VALUES(?, ?, ?, ?, ?, " + "?, ?)")) {
                for (Row row : rows) {
                    addRow(s, id, Entry.fromBytes(row.bytes()), row.bytes(), row.hash());
                }
                s.executeBatch();
            }
            heads.remove(origin);
            return true;
        });
    }

    /** Returns the entries of a chain between two numbers, both included. */
    List<Row> rows(ChainOrigin origin, long from, long to) throws StoreException {
        return query(() -> {
            List<Row> rows = new ArrayList<>();
            try (PreparedStatement s = prepare(
                            "SELECT number, bytes, hash FROM entry WHERE origin = ? AND "
                                    + "number "
                                    + "BETWEEN ? AND ? ORDER BY number",
                            originId(origin, false),
                            from,
                            to);
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    rows.add(new Row(r.getLong(1), r.getBytes(2), r.getBytes(3)));
                }
            }
            return rows;
        });
    }

    /** Passes all entries that are not pruned to the action. */
    void forEachEntry(Consumer<Entry> action) throws StoreException {
        query(() -> {
            try (PreparedStatement s = prepare("SELECT bytes FROM entry WHERE bytes IS NOT NULL");
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    action.accept(Entry.fromBytes(r.getBytes(1)));
                }
            }
            return null;
        });
    }

    /** Returns an entry; null if it does not exist or is pruned. */
    Entry entry(EntryRef ref) throws StoreException {
        List<Row> rows = rows(ref.origin(), ref.number(), ref.number());
        return rows.isEmpty() || rows.get(0).bytes() == null
                ? null
                : Entry.fromBytes(rows.get(0).bytes());
    }

    /** Returns the effective correction of an entry: the first one by its own dispatcher; null if there is none. */
    Entry correctionOf(EntryRef target) throws StoreException {
        return query(() -> {
            Entry first = null;
            try (PreparedStatement s = prepare("SELECT bytes FROM entry WHERE target = ?", target.toString());
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    Entry e = Entry.fromBytes(r.getBytes(1));
                    boolean counts =
                            e.ref().origin().dispatcher().equals(target.origin().dispatcher());
                    first = counts && (first == null || e.ref().compareTo(first.ref()) < 0) ? e : first;
                }
            }
            return first;
        });
    }

    /** Counts the entries by kind, optionally only those of this dispatcher. */
    Map<Entry.Kind, Long> countByKind(boolean ownOnly) throws StoreException {
        return query(() -> {
            Map<Entry.Kind, Long> counts = new java.util.EnumMap<>(Entry.Kind.class);
            try (PreparedStatement s = prepare(
                            "SELECT kind, count(*) FROM entry JOIN origin ON origin = id "
                                    + "WHERE "
                                    + "dispatcher = ? OR ? GROUP BY kind",
                            dispatcher,
                            ownOnly ? 0 : 1);
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    counts.put(Entry.Kind.values()[r.getInt(1)], r.getLong(2));
                }
            }
            return counts;
        });
    }

    // Forks

    private String quarantineReason(ChainOrigin origin) throws SQLException {
        return queryFirst(
                "SELECT quarantine FROM origin WHERE dispatcher = ? AND life = ?",
                origin.dispatcher(),
                origin.incarnation());
    }

    /** Quarantines an origin, whose entries are no longer accepted from peers; the first reason is kept. */
    void quarantine(ChainOrigin origin, String reason) throws StoreException {
        inTransaction("written", () -> {
            originId(origin, true);
            return execute(
                    "UPDATE origin SET quarantine = ? WHERE dispatcher = ? AND life = ? AND quarantine " + "IS NULL",
                    reason,
                    origin.dispatcher(),
                    origin.incarnation());
        });
    }

    /** Returns the quarantined origins with the reasons. */
    Map<ChainOrigin, String> quarantined() throws StoreException {
        return query(() -> {
            Map<ChainOrigin, String> all = new TreeMap<>();
            try (PreparedStatement s = prepare(
                            "SELECT dispatcher, life, quarantine FROM origin WHERE " + "quarantine " + "IS NOT NULL");
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    all.put(new ChainOrigin(r.getString(1), r.getLong(2)), r.getString(3));
                }
            }
            return all;
        });
    }

    // Closing

    /**
     * Asks every incarnation to report when all that it answered before the end of the period is durable, so that the
     * period can be closed.
     */
    void requestSettlement(BillingCalendar.Period period) throws StoreException {
        inTransaction("written", () -> execute("INSERT OR REPLACE INTO mark VALUES(?, ?)", period.name(), period.to()));
    }

    /** Returns the time up to which incarnations have to be settled; 0 if no close is pending. */
    double settlementRequestedUntil() throws StoreException {
        return query(() -> {
            String until = queryFirst("SELECT max(until) FROM mark");
            return until == null ? 0 : Double.parseDouble(until);
        });
    }

    /** Records that all answers of an incarnation before a time are durable. */
    void recordSettled(ChainOrigin own, double until) throws StoreException {
        inTransaction(
                "written",
                () -> execute("UPDATE life SET settled = max(settled, ?) WHERE life = ?", until, own.incarnation()));
    }

    double settledUntil(long incarnation) throws StoreException {
        return query(() -> {
            String until = queryFirst("SELECT settled FROM life WHERE life = ?", incarnation);
            return until == null ? 0 : Double.parseDouble(until);
        });
    }

    /** Closes this dispatcher's part of a period over all entries that are held, in one transaction. */
    void closePeriod(ChainOrigin own, BillingCalendar.Period period, double now, String requestedBy)
            throws StoreException {
        inTransaction("written", () -> {
            insert(own, List.of(Entry.close(new EntryRef(own, 0), now, period, lastNumbers(), requestedBy)));
            return execute("DELETE FROM mark WHERE period = ?", period.name());
        });
    }

    // Export

    /**
     * Creates the next batch of this dispatcher's own entries and advances the export's cursor in the same transaction;
     * null if there are no new entries. A batch never changes afterwards.
     */
    Batch cutBatch(String export, long maxEntries) throws StoreException {
        return inTransaction("written", () -> {
            List<Range> ranges = new ArrayList<>();
            long remaining = maxEntries;
            try (PreparedStatement s = prepare(
                            "SELECT life, coalesce((SELECT upto FROM cut WHERE export = "
                                    + "? AND "
                                    + "cut.life = origin.life), 0), (SELECT max(number) FROM entry WHERE entry.origin = "
                                    + "origin.id) "
                                    + "FROM origin WHERE dispatcher = ? ORDER BY life",
                            export,
                            dispatcher);
                    ResultSet r = s.executeQuery()) {
                while (r.next() && remaining > 0) {
                    long from = r.getLong(2) + 1;
                    long to = Math.min(r.getLong(3), from + remaining - 1);
                    if (to >= from) {
                        ranges.add(new Range(r.getLong(1), from, to));
                        remaining -= to - from + 1;
                    }
                }
            }
            if (ranges.isEmpty()) {
                return null;
            }
            String last = queryFirst("SELECT max(number) FROM batch WHERE export = ?", export);
            long number = last == null ? 1 : Long.parseLong(last) + 1;
            execute(
                    "INSERT INTO batch VALUES(?, ?, ?, ?, 0)",
                    export,
                    number,
                    String.join(" ", ranges.stream().map(Range::toString).toList()),
                    maxEntries - remaining);
            for (Range range : ranges) {
                execute("INSERT OR REPLACE INTO cut VALUES(?, ?, ?)", export, range.incarnation(), range.to());
            }
            return new Batch(export, number, ranges, maxEntries - remaining, false);
        });
    }

    /** Returns the earliest batch that is not delivered, or null. */
    Batch pendingBatch(String export) throws StoreException {
        return query(() -> {
            try (PreparedStatement s = prepare(
                            "SELECT number, ranges, entries FROM batch WHERE export = ? "
                                    + "AND "
                                    + "delivered = 0 ORDER BY number LIMIT 1",
                            export);
                    ResultSet r = s.executeQuery()) {
                return r.next()
                        ? new Batch(export, r.getLong(1), Range.parse(r.getString(2)), r.getLong(3), false)
                        : null;
            }
        });
    }

    /** Returns a batch, delivered or not; null if the number has not been assigned. */
    Batch batch(String export, long number) throws StoreException {
        return query(() -> {
            try (PreparedStatement s = prepare(
                            "SELECT ranges, entries, delivered FROM batch WHERE export = " + "? AND " + "number = ?",
                            export,
                            number);
                    ResultSet r = s.executeQuery()) {
                return r.next()
                        ? new Batch(export, number, Range.parse(r.getString(1)), r.getLong(2), r.getInt(3) == 1)
                        : null;
            }
        });
    }

    void markDelivered(Batch batch) throws StoreException {
        inTransaction(
                "written",
                () -> execute(
                        "UPDATE batch SET delivered = 1 WHERE export = ? AND number = ?",
                        batch.export(),
                        batch.number()));
    }

    /** Number of entries of this dispatcher that an export has not delivered yet. */
    long exportLag(String export) throws StoreException {
        return query(() -> {
            String all = queryFirst(
                    "SELECT count(*) FROM entry JOIN origin ON origin = id WHERE dispatcher = ?", dispatcher);
            String done = queryFirst("SELECT sum(entries) FROM batch WHERE export = ? AND delivered = 1", export);
            return Long.parseLong(all) - (done == null ? 0 : Long.parseLong(done));
        });
    }

    /** Whether every export that has ever created a batch has delivered the entry. */
    boolean isExported(EntryRef ref) throws StoreException {
        return query(() -> {
            try (PreparedStatement s = prepare(
                            "SELECT export, upto FROM cut WHERE life = ?",
                            ref.origin().incarnation());
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    if (r.getLong(2) < ref.number()
                            || queryFirst("SELECT 1 FROM batch WHERE export = ? AND delivered = 0", r.getString(1))
                                    != null) {
                        return false;
                    }
                }
            }
            return true;
        });
    }

    // Archives

    /**
     * Removes the content of entries that are in an archive file; their hashes are kept, so that the chain can still be
     * verified.
     */
    void prune(String period, String file, String sum, List<EntryRef> refs) throws StoreException {
        inTransaction("written", () -> {
            execute("INSERT OR REPLACE INTO archive VALUES(?, ?, ?, ?)", period, file, sum, refs.size());
            try (PreparedStatement s =
                    database.prepare("UPDATE entry SET bytes = NULL WHERE " + "origin = ? " + "AND number = ?")) {
                for (EntryRef ref : refs) {
                    s.setInt(1, originId(ref.origin(), false));
                    s.setLong(2, ref.number());
                    s.addBatch();
                }
                s.executeBatch();
            }
            return null;
        });
    }

    /** Returns the file, SHA-256 and number of entries of an archived period; null if it is not archived. */
    List<String> archiveInfo(String period) throws StoreException {
        return query(() -> {
            try (PreparedStatement s = prepare("SELECT file, sum, entries FROM archive WHERE period = ?", period);
                    ResultSet r = s.executeQuery()) {
                return r.next() ? List.of(r.getString(1), r.getString(2), r.getString(3)) : null;
            }
        });
    }

    /** Returns the names of the archived periods. */
    List<String> archivedPeriods() throws StoreException {
        return query(() -> {
            List<String> names = new ArrayList<>();
            try (PreparedStatement s = prepare("SELECT period FROM archive ORDER BY period");
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    names.add(r.getString(1));
                }
            }
            return names;
        });
    }

    /**
     * Restores pruned entries; each one has to match the hash that was kept.
     *
     * @return the number of restored entries
     */
    long restorePruned(String period, List<Entry> entries) throws StoreException {
        return inTransaction("written", () -> {
            long restored = 0;
            for (Entry entry : entries) {
                EntryRef ref = entry.ref();
                byte[] bytes = entry.toBytes();
                byte[] previousHash = ref.number() == 1 ? Entry.INITIAL_HASH : hash(ref.origin(), ref.number() - 1);
                byte[] storedHash = hash(ref.origin(), ref.number());
                if (previousHash == null
                        || storedHash == null
                        || !Arrays.equals(storedHash, Entry.chainHash(previousHash, bytes))) {
                    throw new IOException(
                            "entry " + ref + " of the archive does not match the hash of the pruned entry");
                }
                restored += execute(
                        "UPDATE entry SET bytes = ? WHERE origin = ? AND number = ? AND bytes IS NULL",
                        bytes,
                        originId(ref.origin(), false),
                        ref.number());
            }
            execute("DELETE FROM archive WHERE period = ?", period);
            return restored;
        });
    }

    private byte[] hash(ChainOrigin origin, long number) throws SQLException {
        try (PreparedStatement s = prepare(
                        "SELECT hash FROM entry WHERE origin = ? AND number = ?", originId(origin, false), number);
                ResultSet r = s.executeQuery()) {
            return r.next() ? r.getBytes(1) : null;
        }
    }

    /** Verifies every chain; returns one line for each wrong hash, number or entry. */
    List<String> verify() throws StoreException {
        List<String> problems = new ArrayList<>();
        query(() -> {
            String integrity = queryFirst("PRAGMA quick_check(1)");
            if (!"ok".equals(integrity)) {
                problems.add("database file: " + integrity);
            }
            return null;
        });
        for (ChainOrigin origin : heads().keySet()) {
            query(() -> {
                long next = 1;
                byte[] previousHash = Entry.INITIAL_HASH;
                try (PreparedStatement s = prepare(
                                "SELECT number, bytes, hash FROM entry WHERE origin = ? " + "ORDER BY " + "number",
                                originId(origin, false));
                        ResultSet r = s.executeQuery()) {
                    while (r.next()) {
                        long number = r.getLong(1);
                        EntryRef ref = new EntryRef(origin, number);
                        byte[] bytes = r.getBytes(2);
                        if (number != next) {
                            problems.add(ref + ": entries " + next + " to " + (number - 1) + " are missing");
                        } else if (bytes != null && !matchesRef(ref, bytes)) {
                            problems.add(ref + ": its content is not an entry with this reference");
                        } else if (bytes != null
                                && !Arrays.equals(r.getBytes(3), Entry.chainHash(previousHash, bytes))) {
                            problems.add(ref + ": its hash does not match the entry and the previous " + "hash");
                        }
                        previousHash = r.getBytes(3);
                        next = number + 1;
                    }
                }
                return null;
            });
        }
        findMissingTails(problems);
        quarantined().forEach((origin, reason) -> problems.add(origin + ": quarantined: " + reason));
        return problems;
    }

    /**
     * Finds chains whose tail is missing. Such a chain is consistent in itself: the loss only shows where a later
     * number was exported or closed.
     */
    private void findMissingTails(List<String> problems) throws StoreException {
        Map<ChainOrigin, Long> referenced = new TreeMap<>();
        query(() -> {
            try (PreparedStatement s = prepare("SELECT life, upto FROM cut");
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    referenced.merge(new ChainOrigin(dispatcher, r.getLong(1)), r.getLong(2), Math::max);
                }
            }
            try (PreparedStatement s = prepare(
                            "SELECT bytes FROM entry WHERE kind = ? AND bytes IS NOT NULL",
                            Entry.Kind.CLOSE.ordinal());
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    Entry.fromBytes(r.getBytes(1))
                            .parseClose()
                            .lastNumbers()
                            .forEach((o, n) -> referenced.merge(o, n, Math::max));
                }
            }
            return null;
        });
        for (Map.Entry<ChainOrigin, Long> e : referenced.entrySet()) {
            long last = head(e.getKey()).number();
            if (last < e.getValue()) {
                problems.add(e.getKey() + ": ends at " + last + ", but entry " + e.getValue()
                        + " has been exported or closed: its tail is missing");
            }
        }
    }

    private static boolean matchesRef(EntryRef ref, byte[] bytes) {
        try {
            return Entry.fromBytes(bytes).ref().equals(ref);
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Renames a damaged database file with its WAL and shared memory files; returns the new path. */
    static Path moveDamagedAside(Path folder, double now) throws IOException {
        String infix = ".damaged-" + (long) now;
        for (String suffix : new String[] {"-wal", "-shm", ""}) {
            Path file = folder.resolve(FILE_NAME + suffix);
            if (Files.exists(file)) {
                Files.move(file, folder.resolve(FILE_NAME + infix + suffix));
            }
        }
        return folder.resolve(FILE_NAME + infix);
    }

    @Override
    public void close() {
        database.close();
    }
}
