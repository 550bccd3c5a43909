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
 * Operator commands on a ledger, with or without a dispatcher process that uses it. Commands that write run as an
 * incarnation of their own, after what dead incarnations left has been recovered.
 */
public final class LedgerAdmin {
    private static final long POLL_MILLIS = 50;
    private static final double SETTLE_TIMEOUT_MILLIS = 15_000;

    /** A command that was not executed; the message is a single line. */
    public static final class OperationException extends Exception {
        private static final long serialVersionUID = 1;
        private final boolean isUsageError;

        OperationException(String message, boolean isUsageError) {
            super(message);
            this.isUsageError = isUsageError;
        }

        /** Whether the command is invalid; otherwise it may be retried. */
        public boolean isUsageError() {
            return isUsageError;
        }
    }

    private final LedgerSettings settings;
    private final Clock clock;

    public LedgerAdmin(LedgerSettings settings, Clock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    private interface Task<T> {
        T run(Store store, ChainOrigin own)
                throws StoreException, IOException, InterruptedException, OperationException;
    }

    private <T> T runWriting(Task<T> task) throws OperationException, InterruptedException {
        try (Store store = Store.open(settings.store())) {
            Recovery.run(store, clock.nowMillis(), settings.calendar());
            ChainOrigin own = store.beginIncarnation(clock.nowMillis());
            try (AutoCloseable lock = Spool.claim(settings.store(), own.incarnation())) {
                return task.run(store, own);
            } catch (StoreException | IOException | InterruptedException | OperationException | RuntimeException e) {
                throw e;
            } catch (Exception e) {
                throw new IOException(e);
            }
        } catch (StoreException | IOException e) {
            throw new OperationException(e.getMessage(), false);
        }
    }

    private StatementCalculator loadStatements(Store store) throws StoreException {
        StatementCalculator calculator = new StatementCalculator(settings.calendar(), settings.keyWindowMillis());
        store.forEachEntry(calculator::add);
        return calculator;
    }

    /** Returns the statements of all periods that are not archived, or of the one that is given. */
    public List<Statement> statements(String period) throws OperationException {
        try (Store store = Store.read(settings.store())) {
            if (period != null && settings.calendar().periodNamed(period).isEmpty()) {
                throw new OperationException("no period is called " + period, true);
            }
            List<String> archived = store.archivedPeriods();
            if (period != null && archived.contains(period)) {
                throw new OperationException("period " + period + " is archived; restore it first", false);
            }
            StatementCalculator calculator = loadStatements(store);
            String conflict = calculator.calendarConflict();
            if (conflict != null) {
                throw new OperationException(conflict, true);
            }
            return period != null
                    ? List.of(calculator.statement(period))
                    : calculator.periods().stream()
                            .filter(p -> !archived.contains(p))
                            .map(calculator::statement)
                            .toList();
        } catch (StoreException e) {
            throw new OperationException(e.getMessage(), false);
        }
    }

    private BillingCalendar.Period requirePeriod(String name) throws OperationException {
        Optional<BillingCalendar.Period> period = settings.calendar().periodNamed(name);
        return period.orElseThrow(() -> new OperationException(
                "no period is called " + name + ": expected the name of a term, or a month such as 2026-11", true));
    }

    /**
     * Closes this dispatcher's part of a period, after every live incarnation has made its answers of the period
     * durable.
     */
    public void close(String name, String requestedBy) throws OperationException, InterruptedException {
        BillingCalendar.Period period = requirePeriod(name);
        if (clock.nowMillis() < period.to()) {
            throw new OperationException("period " + name + " ends at " + BatchCodec.formatTime(period.to()), true);
        }
        runWriting((store, own) -> {
            StatementCalculator calculator = loadStatements(store);
            if (calculator.isClosed(store.dispatcher(), period)) {
                throw new OperationException(
                        "period " + name + " is already closed; later entries are billed in the open " + "period",
                        true);
            }
            BillingCalendar.Period first = calculator.firstOpenPeriod(store.dispatcher());
            if (first != null && first.from() < period.from()) {
                throw new OperationException(
                        "period " + first.name() + " is earlier and still open; close it first", true);
            }
            store.requestSettlement(period);
            double deadline = Ledger.monotonicMillis() + SETTLE_TIMEOUT_MILLIS;
            for (long incarnation : liveIncarnations(own)) {
                while (store.settledUntil(incarnation) < period.to() && Spool.isAlive(settings.store(), incarnation)) {
                    if (Ledger.monotonicMillis() > deadline) {
                        throw new OperationException(
                                "incarnation " + incarnation
                                        + " has not settled in time; the request to settle stays, try " + "again",
                                false);
                    }
                    TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
                }
            }
            // An incarnation that died meanwhile has left a spool.
            Recovery.run(store, clock.nowMillis(), settings.calendar());
            store.closePeriod(own, period, clock.nowMillis(), requestedBy);
            return null;
        });
    }

    private List<Long> liveIncarnations(ChainOrigin currentOrigin) throws IOException {
        List<Long> live = new ArrayList<>();
        try (java.nio.file.DirectoryStream<Path> locks =
                java.nio.file.Files.newDirectoryStream(settings.store(), "life-*.lock")) {
            for (Path lock : locks) {
                long incarnation = Long.parseLong(lock.getFileName().toString().replaceAll("\\D", ""));
                if (incarnation != currentOrigin.incarnation() && Spool.isAlive(settings.store(), incarnation)) {
                    live.add(incarnation);
                }
            }
        }
        return live;
    }

    /**
     * Corrects the value of an entry.
     *
     * @param workSlotMicros the new value
     * @return the reference of the correction
     */
    public EntryRef correct(String ref, long workSlotMicros, String requestedBy, String reason)
            throws OperationException, InterruptedException {
        EntryRef target;
        try {
            target = EntryRef.parse(ref);
        } catch (IllegalArgumentException e) {
            throw new OperationException(e.getMessage(), true);
        }
        if (workSlotMicros < 0
                || requestedBy.isBlank()
                || reason.isBlank()
                || requestedBy.length() + reason.length() > Entry.MAX_TEXT_LENGTH) {
            throw new OperationException("a correction requires a value of at least 0, a requester and a reason", true);
        }
        return runWriting((store, own) -> {
            Entry entry = store.entry(target);
            if (entry == null) {
                throw new OperationException("no entry " + target + " in this ledger", true);
            }
            if (!target.origin().dispatcher().equals(store.dispatcher())) {
                throw new OperationException(
                        "entry " + target + " can only be corrected at its own dispatcher, "
                                + target.origin().dispatcher(),
                        true);
            }
            if (entry.kind() != Entry.Kind.JOB && entry.kind() != Entry.Kind.DOUBT) {
                throw new OperationException(
                        "entry " + target + " is a " + entry.kind().toString().toLowerCase()
                                + ": only a job or a doubt can be corrected",
                        true);
            }
            Entry before = store.correctionOf(target);
            if (before != null) {
                throw new OperationException(
                        "entry " + target + " was already corrected by " + before.ref()
                                + "; an entry can be corrected once",
                        true);
            }
            long number = store.append(
                    own,
                    List.of(Entry.correction(
                            new EntryRef(own, 0), clock.nowMillis(), entry, workSlotMicros, requestedBy, reason)));
            return new EntryRef(own, number);
        });
    }

    /** Runs one round of an export, or of all if the name is null; returns the result of each. */
    public Map<String, Exporter.Report> export(String name) throws OperationException, InterruptedException {
        List<ExportSettings> selected = settings.exports().stream()
                .filter(e -> name == null || e.name().equals(name))
                .toList();
        if (selected.isEmpty()) {
            throw new OperationException(
                    name == null ? "the settings define no export" : "no export is called " + name, true);
        }
        return runWriting((store, own) -> {
            Map<String, Exporter.Report> reports = new java.util.LinkedHashMap<>();
            for (ExportSettings e : selected) {
                reports.put(
                        e.name(),
                        new Exporter(
                                        store,
                                        e,
                                        Exporter.target(e, FaultInjection.NONE),
                                        new SplittableRandom(),
                                        millis -> TimeUnit.MILLISECONDS.sleep((long) millis),
                                        FaultInjection.NONE)
                                .runRound());
            }
            return reports;
        });
    }

    /** Runs one round with each peer of the settings; returns the results by peer address. */
    public Map<String, Reconciler.Report> reconcile() throws OperationException, InterruptedException {
        PeerSettings peers = settings.peers();
        if (peers == null || peers.peers().isEmpty()) {
            throw new OperationException("the settings define no peers", true);
        }
        return runWriting((store, own) -> {
            MessageAuthenticator authenticator = LedgerService.readKey(peers.keyFile());
            io.vertx.core.Vertx vertx = LedgerService.createClientVertx();
            Map<String, Reconciler.Report> reports = new java.util.LinkedHashMap<>();
            try {
                for (java.net.InetSocketAddress peer : peers.peers()) {
                    String name = peer.getAddress().getHostAddress() + ":" + peer.getPort();
                    try (PeerClient client = new PeerClient(vertx, peer, authenticator, clock, peers.timeoutMillis())) {
                        reports.put(name, new Reconciler(store, client, peers.chunkEntries()).runRound());
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

    /** Returns one line for each fault of the chains of the store; none if all are valid. */
    public List<String> verify() throws OperationException {
        try (Store store = Store.read(settings.store())) {
            return store.verify();
        } catch (StoreException e) {
            throw new OperationException(e.getMessage(), false);
        }
    }

    /** Writes the entries of a closed and exported period to a file and prunes them; returns their number. */
    public long archive(String name, Path file) throws OperationException, InterruptedException {
        BillingCalendar.Period period = requirePeriod(name);
        return runWriting((store, own) -> {
            StatementCalculator calculator = loadStatements(store);
            Statement statement = calculator.statement(name);
            if (!statement.closed() || !calculator.isClosed(store.dispatcher(), period)) {
                throw new OperationException(
                        "period " + name + " is not closed by "
                                + (statement.open().isEmpty() ? "anybody" : statement.open()),
                        true);
            }
            List<Entry> entries = new ArrayList<>();
            List<EntryRef> undelivered = new ArrayList<>();
            store.forEachEntry(e -> {
                if (period.contains(e.timeMillis())
                        && (e.kind() == Entry.Kind.JOB || e.kind() == Entry.Kind.GAP)
                        && calculator.isSettled(e)) {
                    entries.add(e);
                }
            });
            for (Entry e : entries) {
                if (e.ref().origin().dispatcher().equals(store.dispatcher()) && !store.isExported(e.ref())) {
                    undelivered.add(e.ref());
                    break;
                }
            }
            if (!undelivered.isEmpty()) {
                throw new OperationException(
                        "entry " + undelivered.get(0) + " of period " + name + " is not exported yet", true);
            }
            if (store.archiveInfo(name) != null) {
                throw new OperationException("period " + name + " is already archived", true);
            }
            String sha256 = Archive.write(file, entries, FaultInjection.NONE);
            store.prune(
                    name,
                    file.toAbsolutePath().toString(),
                    sha256,
                    entries.stream().map(Entry::ref).toList());
            return (long) entries.size();
        });
    }

    /**
     * Restores an archived period into the store; returns the number of entries.
     *
     * @param file null for the file that the archive was written to
     */
    public long restore(String name, Path file) throws OperationException, InterruptedException {
        return runWriting((store, own) -> {
            List<String> info = store.archiveInfo(name);
            if (info == null) {
                throw new OperationException("period " + name + " is not archived", true);
            }
            return store.restorePruned(name, Archive.read(file != null ? file : Path.of(info.get(0)), info.get(1)));
        });
    }
}
