package nettlewick.ledger;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettlewick.core.Clock;
import nettlewick.sqlite.StoreException;

/**
 * What people ask of a ledger, beside a process that serves or without one. Whatever writes does so under a
 * life
 * of its own, after what dead lives left has been entered.
 */
public final class LedgerAdmin {
    private static final long LOOK = 50;
    private static final double WAIT = 15_000;

    /** The answer is no, in one line. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1;
        private final boolean misuse;

        Refused(String message, boolean misuse) {
            super(message);
            this.misuse = misuse;
        }

        /** Whether what was asked makes no sense; else it may be asked again. */
        public boolean misuse() {
            return misuse;
        }
    }

    private final LedgerSettings settings;
    private final Clock clock;

    public LedgerAdmin(LedgerSettings settings, Clock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    private interface Task<T> {
        T run(Store store, ChainOrigin own) throws StoreException, IOException, InterruptedException, Refused;
    }

    private <T> T write(Task<T> task) throws Refused, InterruptedException {
        try (Store store = Store.open(settings.store())) {
            Recovery.run(store, clock.nowMillis(), settings.terms());
            ChainOrigin own = store.begin(clock.nowMillis());
            try (AutoCloseable held = Spool.claim(settings.store(), own.life())) {
                return task.run(store, own);
            } catch (StoreException | IOException | InterruptedException | Refused | RuntimeException e) {
                throw e;
            } catch (Exception e) {
                throw new IOException(e);
            }
        } catch (StoreException | IOException e) {
            throw new Refused(e.getMessage(), false);
        }
    }

    private UsageBook book(Store store) throws StoreException {
        UsageBook book = new UsageBook(settings.terms(), settings.keyWindow());
        store.each(book::add);
        return book;
    }

    /** All periods that have anything to state, or the one asked for. */
    public List<Statement> statements(String period) throws Refused {
        try (Store store = Store.read(settings.store())) {
            if (period != null && settings.terms().named(period).isEmpty()) {
                throw new Refused("no period is called " + period, true);
            }
            List<String> archived = store.archives();
            if (period != null && archived.contains(period)) {
                throw new Refused("period " + period + " is archived; restore it first", false);
            }
            UsageBook book = book(store);
            String contradiction = book.contradiction();
            if (contradiction != null) {
                throw new Refused(contradiction, true);
            }
            return period != null
                    ? List.of(book.statement(period))
                    : book.periods().stream()
                            .filter(p -> !archived.contains(p))
                            .map(book::statement)
                            .toList();
        } catch (StoreException e) {
            throw new Refused(e.getMessage(), false);
        }
    }

    private Terms.Period period(String name) throws Refused {
        Optional<Terms.Period> period = settings.terms().named(name);
        return period.orElseThrow(() ->
                new Refused("no period is called " + name + ": it is a term's name, or a month such as 2026-11", true));
    }

    /**
     * Closes this dispatcher's part of a period, after every life has made durable what it answered in it.
     */
    public void close(String name, String by) throws Refused, InterruptedException {
        Terms.Period period = period(name);
        if (clock.nowMillis() < period.to()) {
            throw new Refused("period " + name + " ends at " + BatchCodec.time(period.to()), true);
        }
        write((store, own) -> {
            UsageBook book = book(store);
            if (book.isClosed(store.dispatcher(), period)) {
                throw new Refused(
                        "period " + name + " is closed already; what is found later goes into the open " + "one", true);
            }
            Terms.Period first = book.firstOpen(store.dispatcher());
            if (first != null && first.from() < period.from()) {
                throw new Refused("period " + first.name() + " is open and comes before; close it first", true);
            }
            store.mark(period);
            double until = Ledger.pace() + WAIT;
            for (long life : living(own)) {
                while (store.settled(life) < period.to() && Spool.alive(settings.store(), life)) {
                    if (Ledger.pace() > until) {
                        throw new Refused(
                                "life " + life + " does not say that it has settled; the mark stays, ask " + "again",
                                false);
                    }
                    TimeUnit.MILLISECONDS.sleep(LOOK);
                }
            }
            // A life that died meanwhile has left a spool.
            Recovery.run(store, clock.nowMillis(), settings.terms());
            store.close(own, period, clock.nowMillis(), by);
            return null;
        });
    }

    private List<Long> living(ChainOrigin own) throws IOException {
        List<Long> living = new ArrayList<>();
        try (java.nio.file.DirectoryStream<Path> locks =
                java.nio.file.Files.newDirectoryStream(settings.store(), "life-*.lock")) {
            for (Path lock : locks) {
                long life = Long.parseLong(lock.getFileName().toString().replaceAll("\\D", ""));
                if (life != own.life() && Spool.alive(settings.store(), life)) {
                    living.add(life);
                }
            }
        }
        return living;
    }

    /** Enters another value for an entry, in slot-microseconds; the name of the correction. */
    public EntryRef correct(String ref, long work, String by, String reason) throws Refused, InterruptedException {
        EntryRef target;
        try {
            target = EntryRef.parse(ref);
        } catch (IllegalArgumentException e) {
            throw new Refused(e.getMessage(), true);
        }
        if (work < 0 || by.isBlank() || reason.isBlank() || by.length() + reason.length() > Entry.TEXT_MOST) {
            throw new Refused("a correction needs a value from 0 on, who asks, and a reason", true);
        }
        return write((store, own) -> {
            Entry entry = store.entry(target);
            if (entry == null) {
                throw new Refused("no entry " + target + " is held here", true);
            }
            if (!target.origin().dispatcher().equals(store.dispatcher())) {
                throw new Refused(
                        "entry " + target + " is corrected at its own dispatcher, "
                                + target.origin().dispatcher(),
                        true);
            }
            if (entry.kind() != Entry.Kind.JOB && entry.kind() != Entry.Kind.DOUBT) {
                throw new Refused(
                        "entry " + target + " is a " + entry.kind().toString().toLowerCase()
                                + ": only a job, or one in doubt, is corrected",
                        true);
            }
            Entry before = store.correctionOf(target);
            if (before != null) {
                throw new Refused(
                        "entry " + target + " was corrected before, by " + before.ref()
                                + ": an entry is corrected once",
                        true);
            }
            long number = store.append(
                    own, List.of(Entry.correction(new EntryRef(own, 0), clock.nowMillis(), entry, work, by, reason)));
            return new EntryRef(own, number);
        });
    }

    /** One round of the named export, or of all; what each did. */
    public Map<String, Exporter.Report> export(String name) throws Refused, InterruptedException {
        List<ExportSettings> wanted = settings.exports().stream()
                .filter(e -> name == null || e.name().equals(name))
                .toList();
        if (wanted.isEmpty()) {
            throw new Refused(name == null ? "the settings have no export" : "no export is called " + name, true);
        }
        return write((store, own) -> {
            Map<String, Exporter.Report> reports = new java.util.LinkedHashMap<>();
            for (ExportSettings e : wanted) {
                reports.put(
                        e.name(),
                        new Exporter(
                                        store,
                                        e,
                                        Exporter.target(e, FaultInjection.NONE),
                                        new SplittableRandom(),
                                        millis -> TimeUnit.MILLISECONDS.sleep((long) millis),
                                        FaultInjection.NONE)
                                .round());
            }
            return reports;
        });
    }

    /** One round with each peer of the settings; what came of each. */
    public Map<String, Reconciler.Report> reconcile() throws Refused, InterruptedException {
        PeerSettings peers = settings.peers();
        if (peers == null || peers.peers().isEmpty()) {
            throw new Refused("the settings name no peers", true);
        }
        return write((store, own) -> {
            MessageSeal seal = LedgerService.seal(peers.key());
            io.vertx.core.Vertx vertx = LedgerService.clients();
            Map<String, Reconciler.Report> reports = new java.util.LinkedHashMap<>();
            try {
                for (java.net.InetSocketAddress peer : peers.peers()) {
                    String name = peer.getAddress().getHostAddress() + ":" + peer.getPort();
                    try (PeerClient client = new PeerClient(vertx, peer, seal, clock, peers.timeout())) {
                        reports.put(name, new Reconciler(store, client, peers.chunk()).round());
                    } catch (IOException e) {
                        reports.put(name, new Reconciler.Report(0, 0, List.of(), List.of(e.getMessage())));
                    }
                }
            } finally {
                vertx.close();
            }
            return reports;
        });
    }

    /** One line for each fault of the store's chains; none where all is in order. */
    public List<String> verify() throws Refused {
        try (Store store = Store.read(settings.store())) {
            return store.verify();
        } catch (StoreException e) {
            throw new Refused(e.getMessage(), false);
        }
    }

    /** Puts a closed and exported period into a file and prunes it; how many entries. */
    public long archive(String name, Path file) throws Refused, InterruptedException {
        Terms.Period period = period(name);
        return write((store, own) -> {
            UsageBook book = book(store);
            Statement statement = book.statement(name);
            if (!statement.closed() || !book.isClosed(store.dispatcher(), period)) {
                throw new Refused(
                        "period " + name + " is not closed by "
                                + (statement.open().isEmpty() ? "anybody" : statement.open()),
                        true);
            }
            List<Entry> entries = new ArrayList<>();
            List<EntryRef> open = new ArrayList<>();
            store.each(e -> {
                if (period.holds(e.at())
                        && (e.kind() == Entry.Kind.JOB || e.kind() == Entry.Kind.GAP)
                        && book.settled(e)) {
                    entries.add(e);
                }
            });
            for (Entry e : entries) {
                if (e.ref().origin().dispatcher().equals(store.dispatcher()) && !store.exported(e.ref())) {
                    open.add(e.ref());
                    break;
                }
            }
            if (!open.isEmpty()) {
                throw new Refused("entry " + open.get(0) + " of period " + name + " is not exported yet", true);
            }
            if (store.archive(name) != null) {
                throw new Refused("period " + name + " is archived already", true);
            }
            String sum = Archive.write(file, entries, FaultInjection.NONE);
            store.prune(
                    name,
                    file.toAbsolutePath().toString(),
                    sum,
                    entries.stream().map(Entry::ref).toList());
            return (long) entries.size();
        });
    }

    /**
     * Brings an archived period back into the store; how many entries. {@code file} null: from where it went.
     */
    public long restore(String name, Path file) throws Refused, InterruptedException {
        return write((store, own) -> {
            List<String> archive = store.archive(name);
            if (archive == null) {
                throw new Refused("period " + name + " is not archived", true);
            }
            return store.unprune(name, Archive.read(file != null ? file : Path.of(archive.get(0)), archive.get(1)));
        });
    }
}
