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
 * The entries on a disk: one SQLite file in WAL mode. Several processes may hold it, each with stores of its
 * own;
 * one store belongs to one thread. What a method changes is one transaction, and durable when it returns.
 */
final class Store implements AutoCloseable {
    static final String FILE = "ledger.db";
    private static final int VERSION = 1;
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

    /** The end of an origin's chain. */
    record Head(long number, byte[] hash) {
        static final Head NONE = new Head(0, Entry.NO_HASH);

        boolean same(Head other) {
            return number == other.number && Arrays.equals(hash, other.hash);
        }
    }

    /** What stands at a place of a chain; {@code bytes} is null where the entry has been pruned. */
    record Row(long number, byte[] bytes, byte[] hash) {}

    /** A batch that was cut: its entries are those of the ranges, in their order. */
    record Batch(String export, long number, List<Range> ranges, long entries, boolean delivered) {}

    /** Entries of one life, both ends included. */
    record Range(long life, long from, long to) {
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
            return life + ":" + from + ":" + to;
        }
    }

    private final Path folder;
    private final Database database;
    private final FaultInjection faults;
    private final Map<ChainOrigin, Integer> ids = new HashMap<>();
    private final Map<ChainOrigin, Head> heads = new HashMap<>();
    private String dispatcher;

    private Store(Path folder, Database database, FaultInjection faults) {
        this.folder = folder;
        this.database = database;
        this.faults = faults;
    }

    /** Opens the store of a folder to write, and makes it where there is none. */
    static Store open(Path folder, String dispatcher, FaultInjection faults) throws StoreException {
        Store store = connect(folder, false, faults);
        try {
            store.begin(dispatcher);
            return store;
        } catch (StoreException e) {
            store.close();
            throw e;
        }
    }

    /** Opens it to write under the name that it has. */
    static Store open(Path folder) throws StoreException {
        if (!Files.exists(folder.resolve(FILE))) {
            throw new StoreException("no ledger in " + folder, null, false);
        }
        return open(folder, null, FaultInjection.NONE);
    }

    /** Opens it to read alone, beside whoever writes. */
    static Store read(Path folder) throws StoreException {
        if (!Files.exists(folder.resolve(FILE))) {
            throw new StoreException("no ledger in " + folder, null, false);
        }
        Store store = connect(folder, true, FaultInjection.NONE);
        store.dispatcher = store.meta("dispatcher");
        return store;
    }

    private static Store connect(Path folder, boolean readOnly, FaultInjection faults) throws StoreException {
        return new Store(folder, Database.open(folder.resolve(FILE), readOnly, "the ledger", faults::at), faults);
    }

    private void begin(String name) throws StoreException {
        change("opened", () -> {
            database.createTables(TABLES);
            String version = value("SELECT value FROM meta WHERE name = 'version'");
            if (version == null) {
                run("INSERT INTO meta VALUES('version', ?)", Integer.toString(VERSION));
            } else if (Integer.parseInt(version) != VERSION) {
                throw new IOException("its form is version " + version + ", this program knows " + VERSION);
            }
            dispatcher = value("SELECT value FROM meta WHERE name = 'dispatcher'");
            if (dispatcher == null) {
                if (name == null) {
                    throw new IOException("nobody has written here yet");
                }
                run("INSERT INTO meta VALUES('dispatcher', ?)", name);
                dispatcher = name;
            } else if (name != null && !name.equals(dispatcher)) {
                throw new IOException("it is the ledger of " + dispatcher + ", not of " + name);
            }
            return null;
        });
    }

    /** Whose ledger it is. */
    String dispatcher() {
        return dispatcher;
    }

    Path folder() {
        return folder;
    }

    private <T> T change(String what, Work<T> work) throws StoreException {
        return database.inTransaction(
                what,
                () -> {
                    heads.clear();
                    ids.clear();
                },
                work);
    }

    private <T> T look(Work<T> work) throws StoreException {
        return database.read(work);
    }

    private PreparedStatement prepare(String sql, Object... values) throws SQLException {
        return database.prepare(sql, values);
    }

    private int run(String sql, Object... values) throws SQLException {
        return database.execute(sql, values);
    }

    private String value(String sql, Object... values) throws SQLException {
        return database.queryFirst(sql, values);
    }

    private String meta(String name) throws StoreException {
        return look(() -> value("SELECT value FROM meta WHERE name = ?", name));
    }

    // Lives and chains

    /** Begins a life of this dispatcher: Unix seconds, or one more than the largest that is known. */
    ChainOrigin begin(double now) throws StoreException {
        return change("written", () -> {
            String last = value(
                    "SELECT max(life) FROM (SELECT life FROM origin WHERE dispatcher = ? UNION "
                            + "ALL "
                            + "SELECT life FROM life)",
                    dispatcher);
            long life = Math.max((long) (now / 1000), last == null ? 1 : Long.parseLong(last) + 1);
            run("INSERT INTO life VALUES(?, ?, ?)", life, now, 0);
            return new ChainOrigin(dispatcher, life);
        });
    }

    private int id(ChainOrigin origin, boolean make) throws SQLException {
        Integer known = ids.get(origin);
        if (known != null) {
            return known;
        }
        String id =
                value("SELECT id FROM origin WHERE dispatcher = ? AND life = ?", origin.dispatcher(), origin.life());
        if (id == null && make) {
            run("INSERT INTO origin(dispatcher, life) VALUES(?, ?)", origin.dispatcher(), origin.life());
            id = value("SELECT last_insert_rowid()");
        }
        if (id == null) {
            return -1;
        }
        ids.put(origin, Integer.parseInt(id));
        return Integer.parseInt(id);
    }

    private Head headOf(ChainOrigin origin) throws SQLException {
        int id = id(origin, false);
        try (PreparedStatement s = prepare(
                        "SELECT number, hash FROM entry WHERE origin = ? ORDER BY number " + "DESC LIMIT 1", id);
                ResultSet r = s.executeQuery()) {
            return r.next() ? new Head(r.getLong(1), r.getBytes(2)) : Head.NONE;
        }
    }

    /** The end of an origin's chain. */
    Head head(ChainOrigin origin) throws StoreException {
        return look(() -> headOf(origin));
    }

    /** The ends of all chains. */
    Map<ChainOrigin, Head> heads() throws StoreException {
        return look(() -> {
            Map<ChainOrigin, Head> all = new TreeMap<>();
            try (PreparedStatement s = prepare("SELECT dispatcher, life FROM origin");
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    all.put(new ChainOrigin(r.getString(1), r.getLong(2)), Head.NONE);
                }
            }
            for (Map.Entry<ChainOrigin, Head> e : all.entrySet()) {
                e.setValue(headOf(e.getKey()));
            }
            return all;
        });
    }

    /** The numbers up to which each origin is held, for a close's vector. */
    private Map<ChainOrigin, Long> vector() throws SQLException {
        Map<ChainOrigin, Long> vector = new TreeMap<>();
        try (PreparedStatement s = prepare("SELECT dispatcher, life, (SELECT max(number) FROM entry "
                        + "WHERE entry.origin = origin.id) FROM origin");
                ResultSet r = s.executeQuery()) {
            while (r.next()) {
                vector.put(new ChainOrigin(r.getString(1), r.getLong(2)), r.getLong(3));
            }
        }
        return vector;
    }

    /**
     * Enters drafts at the end of an own chain, in their order, as one transaction. Only one process writes a
     * chain, so its end is remembered.
     *
     * @return the number of the last entry
     */
    long append(ChainOrigin own, List<Entry> drafts) throws StoreException {
        return change("written", () -> {
            faults.at("append");
            insert(own, drafts);
            return heads.get(own).number();
        });
    }

    private void insert(ChainOrigin own, List<Entry> drafts) throws SQLException {
        Head head = heads.get(own);
        head = head == null ? headOf(own) : head;
        int id = id(own, true);
        try (PreparedStatement s = database.prepare("INSERT INTO entry VALUES(?, ?, ?, ?, ?, ?, " + "?)")) {
            for (Entry draft : drafts) {
                Entry entry = draft.at(new EntryRef(own, head.number() + 1));
                byte[] bytes = entry.bytes();
                head = new Head(entry.ref().number(), Entry.link(head.hash(), bytes));
                row(s, id, entry, bytes, head.hash());
            }
            s.executeBatch();
        }
        heads.put(own, head);
    }

    private static void row(PreparedStatement s, int id, Entry entry, byte[] bytes, byte[] hash) throws SQLException {
        s.setInt(1, id);
        s.setLong(2, entry.ref().number());
        s.setInt(3, entry.kind().ordinal());
        s.setDouble(4, entry.at());
        s.setString(5, entry.target() == null ? null : entry.target().toString());
        s.setBytes(6, bytes);
        s.setBytes(7, hash);
        s.addBatch();
    }

    /**
     * Takes a piece of another dispatcher's chain over, checked link by link by the caller: it follows the
     * head
     * given. False where the chain has another end by now.
     */
    boolean merge(ChainOrigin origin, Head after, List<Row> rows) throws StoreException {
        return change("written", () -> {
            if (!headOf(origin).same(after) || quarantineOf(origin) != null) {
                return false;
            }
            int id = id(origin, true);
            try (PreparedStatement s = database.prepare("INSERT INTO entry VALUES(?, ?, ?, ?, ?, " + "?, ?)")) {
                for (Row row : rows) {
                    row(s, id, Entry.of(row.bytes()), row.bytes(), row.hash());
                }
                s.executeBatch();
            }
            heads.remove(origin);
            return true;
        });
    }

    /** Entries of a chain from one number to another, both included. */
    List<Row> rows(ChainOrigin origin, long from, long to) throws StoreException {
        return look(() -> {
            List<Row> rows = new ArrayList<>();
            try (PreparedStatement s = prepare(
                            "SELECT number, bytes, hash FROM entry WHERE origin = ? AND "
                                    + "number "
                                    + "BETWEEN ? AND ? ORDER BY number",
                            id(origin, false),
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

    /** All entries that are not pruned. */
    void each(Consumer<Entry> then) throws StoreException {
        look(() -> {
            try (PreparedStatement s = prepare("SELECT bytes FROM entry WHERE bytes IS NOT NULL");
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    then.accept(Entry.of(r.getBytes(1)));
                }
            }
            return null;
        });
    }

    /** The entry of that name, or null. */
    Entry entry(EntryRef ref) throws StoreException {
        List<Row> rows = rows(ref.origin(), ref.number(), ref.number());
        return rows.isEmpty() || rows.get(0).bytes() == null
                ? null
                : Entry.of(rows.get(0).bytes());
    }

    /** The correction of an entry by its own dispatcher that counts, or null. */
    Entry correctionOf(EntryRef target) throws StoreException {
        return look(() -> {
            Entry first = null;
            try (PreparedStatement s = prepare("SELECT bytes FROM entry WHERE target = ?", target.toString());
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    Entry e = Entry.of(r.getBytes(1));
                    boolean counts =
                            e.ref().origin().dispatcher().equals(target.origin().dispatcher());
                    first = counts && (first == null || e.ref().compareTo(first.ref()) < 0) ? e : first;
                }
            }
            return first;
        });
    }

    /** How many entries there are of each kind, by this dispatcher alone if asked. */
    Map<Entry.Kind, Long> counts(boolean own) throws StoreException {
        return look(() -> {
            Map<Entry.Kind, Long> counts = new java.util.EnumMap<>(Entry.Kind.class);
            try (PreparedStatement s = prepare(
                            "SELECT kind, count(*) FROM entry JOIN origin ON origin = id "
                                    + "WHERE "
                                    + "dispatcher = ? OR ? GROUP BY kind",
                            dispatcher,
                            own ? 0 : 1);
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    counts.put(Entry.Kind.values()[r.getInt(1)], r.getLong(2));
                }
            }
            return counts;
        });
    }

    // Forks

    private String quarantineOf(ChainOrigin origin) throws SQLException {
        return value(
                "SELECT quarantine FROM origin WHERE dispatcher = ? AND life = ?", origin.dispatcher(), origin.life());
    }

    /** From now on nothing of this origin is taken over; the first reason stays. */
    void quarantine(ChainOrigin origin, String why) throws StoreException {
        change("written", () -> {
            id(origin, true);
            return run(
                    "UPDATE origin SET quarantine = ? WHERE dispatcher = ? AND life = ? AND quarantine " + "IS NULL",
                    why,
                    origin.dispatcher(),
                    origin.life());
        });
    }

    /** The origins that are quarantined, each with why. */
    Map<ChainOrigin, String> quarantined() throws StoreException {
        return look(() -> {
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

    /** A period is about to be closed: each life is to say when all that it answered before is durable. */
    void mark(Terms.Period period) throws StoreException {
        change("written", () -> run("INSERT OR REPLACE INTO mark VALUES(?, ?)", period.name(), period.to()));
    }

    /** Until when lives have to be settled, 0 where nobody asks. */
    double marked() throws StoreException {
        return look(() -> {
            String until = value("SELECT max(until) FROM mark");
            return until == null ? 0 : Double.parseDouble(until);
        });
    }

    /** All that this life answered before then is durable. */
    void settled(ChainOrigin own, double until) throws StoreException {
        change("written", () -> run("UPDATE life SET settled = max(settled, ?) WHERE life = ?", until, own.life()));
    }

    double settled(long life) throws StoreException {
        return look(() -> {
            String until = value("SELECT settled FROM life WHERE life = ?", life);
            return until == null ? 0 : Double.parseDouble(until);
        });
    }

    /** Closes this dispatcher's part of a period over all that is held, in one transaction. */
    void close(ChainOrigin own, Terms.Period period, double now, String by) throws StoreException {
        change("written", () -> {
            insert(own, List.of(Entry.close(new EntryRef(own, 0), now, period, vector(), by)));
            return run("DELETE FROM mark WHERE period = ?", period.name());
        });
    }

    // Export

    /**
     * Cuts the next batch of this dispatcher's own entries, and moves the cursor with it; null where there is
     * nothing new. A batch that was cut stays as it is.
     */
    Batch cut(String export, long most) throws StoreException {
        return change("written", () -> {
            List<Range> ranges = new ArrayList<>();
            long left = most;
            try (PreparedStatement s = prepare(
                            "SELECT life, coalesce((SELECT upto FROM cut WHERE export = "
                                    + "? AND "
                                    + "cut.life = origin.life), 0), (SELECT max(number) FROM entry WHERE entry.origin = "
                                    + "origin.id) "
                                    + "FROM origin WHERE dispatcher = ? ORDER BY life",
                            export,
                            dispatcher);
                    ResultSet r = s.executeQuery()) {
                while (r.next() && left > 0) {
                    long from = r.getLong(2) + 1;
                    long to = Math.min(r.getLong(3), from + left - 1);
                    if (to >= from) {
                        ranges.add(new Range(r.getLong(1), from, to));
                        left -= to - from + 1;
                    }
                }
            }
            if (ranges.isEmpty()) {
                return null;
            }
            String last = value("SELECT max(number) FROM batch WHERE export = ?", export);
            long number = last == null ? 1 : Long.parseLong(last) + 1;
            run(
                    "INSERT INTO batch VALUES(?, ?, ?, ?, 0)",
                    export,
                    number,
                    String.join(" ", ranges.stream().map(Range::toString).toList()),
                    most - left);
            for (Range range : ranges) {
                run("INSERT OR REPLACE INTO cut VALUES(?, ?, ?)", export, range.life(), range.to());
            }
            return new Batch(export, number, ranges, most - left, false);
        });
    }

    /** The earliest batch that was cut and not delivered, or null. */
    Batch pending(String export) throws StoreException {
        return look(() -> {
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

    /** A batch that was cut, delivered or not; null where the number was never given. */
    Batch batch(String export, long number) throws StoreException {
        return look(() -> {
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

    void delivered(Batch batch) throws StoreException {
        change(
                "written",
                () -> run(
                        "UPDATE batch SET delivered = 1 WHERE export = ? AND number = ?",
                        batch.export(),
                        batch.number()));
    }

    /** Entries of this dispatcher that an export has not delivered yet. */
    long lag(String export) throws StoreException {
        return look(() -> {
            String all =
                    value("SELECT count(*) FROM entry JOIN origin ON origin = id WHERE dispatcher = ?", dispatcher);
            String done = value("SELECT sum(entries) FROM batch WHERE export = ? AND delivered = 1", export);
            return Long.parseLong(all) - (done == null ? 0 : Long.parseLong(done));
        });
    }

    /** Whether every export that has ever cut has delivered this entry. */
    boolean exported(EntryRef ref) throws StoreException {
        return look(() -> {
            try (PreparedStatement s = prepare(
                            "SELECT export, upto FROM cut WHERE life = ?",
                            ref.origin().life());
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    if (r.getLong(2) < ref.number()
                            || value("SELECT 1 FROM batch WHERE export = ? AND delivered = 0", r.getString(1))
                                    != null) {
                        return false;
                    }
                }
            }
            return true;
        });
    }

    // Archives

    /** A period's entries are in a file: their bytes go, their hashes stay and hold the chain together. */
    void prune(String period, String file, String sum, List<EntryRef> refs) throws StoreException {
        change("written", () -> {
            run("INSERT OR REPLACE INTO archive VALUES(?, ?, ?, ?)", period, file, sum, refs.size());
            try (PreparedStatement s =
                    database.prepare("UPDATE entry SET bytes = NULL WHERE " + "origin = ? " + "AND number = ?")) {
                for (EntryRef ref : refs) {
                    s.setInt(1, id(ref.origin(), false));
                    s.setLong(2, ref.number());
                    s.addBatch();
                }
                s.executeBatch();
            }
            return null;
        });
    }

    /** The file, sum and number of entries of an archived period; null where it is none. */
    List<String> archive(String period) throws StoreException {
        return look(() -> {
            try (PreparedStatement s = prepare("SELECT file, sum, entries FROM archive WHERE period = ?", period);
                    ResultSet r = s.executeQuery()) {
                return r.next() ? List.of(r.getString(1), r.getString(2), r.getString(3)) : null;
            }
        });
    }

    /** The names of archived periods. */
    List<String> archives() throws StoreException {
        return look(() -> {
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

    /** Brings pruned entries back; each has to be the one whose hash stands there. */
    long unprune(String period, List<Entry> entries) throws StoreException {
        return change("written", () -> {
            long back = 0;
            for (Entry entry : entries) {
                EntryRef ref = entry.ref();
                byte[] bytes = entry.bytes();
                byte[] before = ref.number() == 1 ? Entry.NO_HASH : hash(ref.origin(), ref.number() - 1);
                byte[] mine = hash(ref.origin(), ref.number());
                if (before == null || mine == null || !Arrays.equals(mine, Entry.link(before, bytes))) {
                    throw new IOException("entry " + ref + " of the archive is not the one that was pruned");
                }
                back += run(
                        "UPDATE entry SET bytes = ? WHERE origin = ? AND number = ? AND bytes IS NULL",
                        bytes,
                        id(ref.origin(), false),
                        ref.number());
            }
            run("DELETE FROM archive WHERE period = ?", period);
            return back;
        });
    }

    private byte[] hash(ChainOrigin origin, long number) throws SQLException {
        try (PreparedStatement s =
                        prepare("SELECT hash FROM entry WHERE origin = ? AND number = ?", id(origin, false), number);
                ResultSet r = s.executeQuery()) {
            return r.next() ? r.getBytes(1) : null;
        }
    }

    /**
     * Walks every chain; one line for each fault: where a link, a number or the bytes of an entry are wrong.
     */
    List<String> verify() throws StoreException {
        List<String> faultsFound = new ArrayList<>();
        look(() -> {
            String integrity = value("PRAGMA quick_check(1)");
            if (!"ok".equals(integrity)) {
                faultsFound.add("the file itself: " + integrity);
            }
            return null;
        });
        for (ChainOrigin origin : heads().keySet()) {
            look(() -> {
                long next = 1;
                byte[] before = Entry.NO_HASH;
                try (PreparedStatement s = prepare(
                                "SELECT number, bytes, hash FROM entry WHERE origin = ? " + "ORDER BY " + "number",
                                id(origin, false));
                        ResultSet r = s.executeQuery()) {
                    while (r.next()) {
                        long number = r.getLong(1);
                        EntryRef ref = new EntryRef(origin, number);
                        byte[] bytes = r.getBytes(2);
                        if (number != next) {
                            faultsFound.add(ref + ": entries " + next + " to " + (number - 1) + " are missing");
                        } else if (bytes != null && !fits(ref, bytes)) {
                            faultsFound.add(ref + ": its bytes are not an entry of that name");
                        } else if (bytes != null && !Arrays.equals(r.getBytes(3), Entry.link(before, bytes))) {
                            faultsFound.add(
                                    ref + ": its hash does not follow from the entry and the hash " + "before it");
                        }
                        before = r.getBytes(3);
                        next = number + 1;
                    }
                }
                return null;
            });
        }
        tails(faultsFound);
        quarantined().forEach((origin, why) -> faultsFound.add(origin + ": quarantined: " + why));
        return faultsFound;
    }

    /** A chain cut off at its end is whole in itself: only what names a later number shows it. */
    private void tails(List<String> faultsFound) throws StoreException {
        Map<ChainOrigin, Long> named = new TreeMap<>();
        look(() -> {
            try (PreparedStatement s = prepare("SELECT life, upto FROM cut");
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    named.merge(new ChainOrigin(dispatcher, r.getLong(1)), r.getLong(2), Math::max);
                }
            }
            try (PreparedStatement s = prepare(
                            "SELECT bytes FROM entry WHERE kind = ? AND bytes IS NOT NULL",
                            Entry.Kind.CLOSE.ordinal());
                    ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    Entry.of(r.getBytes(1)).close().vector().forEach((o, n) -> named.merge(o, n, Math::max));
                }
            }
            return null;
        });
        for (Map.Entry<ChainOrigin, Long> e : named.entrySet()) {
            long last = head(e.getKey()).number();
            if (last < e.getValue()) {
                faultsFound.add(e.getKey() + ": ends at " + last + ", but entry " + e.getValue()
                        + " has been exported or closed: its tail is missing");
            }
        }
    }

    private static boolean fits(EntryRef ref, byte[] bytes) {
        try {
            return Entry.of(bytes).ref().equals(ref);
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Moves a damaged file and its companions out of the way, and says where to. */
    static Path putAside(Path folder, double now) throws IOException {
        String mark = ".damaged-" + (long) now;
        for (String end : new String[] {"-wal", "-shm", ""}) {
            Path file = folder.resolve(FILE + end);
            if (Files.exists(file)) {
                Files.move(file, folder.resolve(FILE + mark + end));
            }
        }
        return folder.resolve(FILE + mark);
    }

    @Override
    public void close() {
        database.close();
    }
}
