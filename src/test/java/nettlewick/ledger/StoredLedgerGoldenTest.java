package nettlewick.ledger;

import static nettlewick.golden.GoldenFile.assertMatches;
import static nettlewick.golden.GoldenFile.hex;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.golden.GoldenFile;
import nettlewick.golden.GoldenFolder;
import nettlewick.ledger.Entry.Kind;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Opens a ledger that an earlier build wrote, with the spool of its killed process and an archive, and compares
 * everything read from it with what that build read.
 */
class StoredLedgerGoldenTest {
    private static final String FOLDER = "ledger/store";
    private static final String ARCHIVE = "ledger/archive/2024-10.archive";
    private static final double DAY_MILLIS = 86_400_000.0;
    private static final double OCTOBER = 1_728_086_400_000.0;
    private static final double NOVEMBER = OCTOBER + 31 * DAY_MILLIS;
    private static final double DECEMBER = NOVEMBER + 30 * DAY_MILLIS;
    private static final BillingCalendar CALENDAR = new BillingCalendar(ZoneOffset.UTC, List.of());
    private static final double KEY_WINDOW_MILLIS = DAY_MILLIS;

    @TempDir
    private Path dir;

    /** Rewrites the stored data, only if golden.record is set. */
    @BeforeAll
    static void record(@TempDir Path made) throws Exception {
        if (!Boolean.getBoolean("golden.record")) {
            return;
        }
        try (Store store = Store.open(made, "north", FaultInjection.NONE)) {
            writeOctober(store);
            writeNovember(store);
        }
        try (Store store = Store.open(made)) {
            ChainOrigin third = store.beginIncarnation(DECEMBER);
            try (Spool spool = new Spool(made, third, FaultInjection.NONE)) {
                fillSpool(spool, third);
                store.append(
                        third,
                        List.of(Spool.finalEntry(intent(third, 1), DECEMBER + 50, true)
                                .withPeriod(CALENDAR)));
                // Both are still open, as in a killed process, with the newest entry in the write-ahead log.
                GoldenFolder.record(made, FOLDER, "-shm");
            }
        }
    }

    private static Entry job(double at, String member, String key, Ending end, long work, boolean estimate, long job) {
        return new Entry(
                new EntryRef(new ChainOrigin("", 0), 0),
                Kind.JOB,
                at,
                member,
                "mark-submit",
                "request-" + job,
                key,
                end,
                work,
                estimate,
                70 * job,
                2,
                job,
                null,
                null,
                CALENDAR.periodAt(at).name());
    }

    private static void writeOctober(Store store) throws Exception {
        ChainOrigin own = store.beginIncarnation(OCTOBER);
        Entry doubt = new Entry(
                new EntryRef(own, 0),
                Kind.DOUBT,
                OCTOBER + 6,
                "blue",
                "step-view",
                "request-6",
                null,
                Ending.SERVED,
                600,
                true,
                0,
                1,
                6,
                null,
                null,
                "the process ended before its answer was confirmed");
        store.append(
                own,
                List.of(
                        job(OCTOBER + 1, "red", "0123456789abcdef", Ending.SERVED, 1234, false, 1),
                        job(OCTOBER + 2, "red", "0123456789abcdef", Ending.SERVED, 99, false, 2),
                        job(OCTOBER + 3, "blue, \"école\" ✓", null, Ending.REFUSED, 0, false, 3),
                        job(OCTOBER + 4, "blue", null, Ending.FAILED, 0, false, 4),
                        job(OCTOBER + 5, "", null, Ending.LEFT, 0, true, 5),
                        doubt,
                        Entry.gap(new EntryRef(own, 0), OCTOBER + 7, OCTOBER + 9, 3)));
        store.markDelivered(store.cutBatch("files", 100));
        store.recordSettled(own, OCTOBER + 10);
        store.closePeriod(own, CALENDAR.periodAt(OCTOBER), NOVEMBER, "operator");
        List<Entry> jobs = new ArrayList<>();
        store.forEachEntry(e -> {
            if (e.kind() == Kind.JOB) {
                jobs.add(e);
            }
        });
        Path file = GoldenFile.recorded(ARCHIVE);
        String sum = Archive.write(file, jobs, FaultInjection.NONE);
        store.prune(
                "2024-10",
                "/var/lib/nettlewick/2024-10.archive",
                sum,
                jobs.stream().map(Entry::ref).toList());
    }

    private static void writeNovember(Store store) throws Exception {
        ChainOrigin own = store.beginIncarnation(NOVEMBER);
        Entry target = store.entry(new EntryRef(new ChainOrigin("north", (long) (OCTOBER / 1000)), 6));
        store.append(
                own,
                List.of(
                        job(NOVEMBER + 1, "red", null, Ending.SERVED, 5000, true, 1),
                        job(OCTOBER + 20, "red", null, Ending.SERVED, 700, false, 2),
                        Entry.correction(
                                new EntryRef(own, 0), NOVEMBER + 3, target, 450, "operator", "answer was seen")));
        store.cutBatch("files", 2);
        store.markDelivered(store.cutBatch("web", 5));
        store.requestSettlement(CALENDAR.periodAt(NOVEMBER));
        ChainOrigin south = new ChainOrigin("south", 7);
        byte[] first = job(NOVEMBER + 4, "green", null, Ending.SERVED, 800, false, 1)
                .withRef(new EntryRef(south, 1))
                .toBytes();
        byte[] second = job(NOVEMBER + 5, "red", null, Ending.SERVED, 900, false, 2)
                .withRef(new EntryRef(south, 2))
                .toBytes();
        byte[] link = Entry.chainHash(Entry.INITIAL_HASH, first);
        store.merge(
                south,
                Store.Head.NONE,
                List.of(new Store.Row(1, first, link), new Store.Row(2, second, Entry.chainHash(link, second))));
        store.quarantine(new ChainOrigin("west", 8), "two entries have number 4");
    }

    private static Entry intent(ChainOrigin own, long job) {
        return job(
                        DECEMBER + job,
                        job == 4 ? "blue" : "red",
                        job == 2 ? "fedcba9876543210" : null,
                        Ending.SERVED,
                        1000 * job,
                        job == 3,
                        job)
                .withRef(new EntryRef(own, 0));
    }

    private static void fillSpool(Spool spool, ChainOrigin own) throws Exception {
        spool.prepareSegment(0);
        spool.prepareSegment(0);
        for (long job = 1; job <= 4; job++) {
            spool.recordIntent(intent(own, job));
        }
        spool.recordEnd(1, DECEMBER + 50, true);
        spool.recordEnd(2, DECEMBER + 51, true);
        spool.recordEnd(3, DECEMBER + 52, false);
        spool.force();
    }

    private static String describe(Entry e) {
        return String.join(
                        " | ",
                        List.of(
                                e.ref().toString(),
                                e.kind().name(),
                                Double.toString(e.timeMillis()),
                                e.tenant(),
                                e.requestClass(),
                                e.requestId(),
                                String.valueOf(e.keyHash()),
                                e.ending().name(),
                                Long.toString(e.workSlotMicros()),
                                Boolean.toString(e.isEstimate()),
                                Long.toString(e.extraWorkSlotMicros()),
                                Integer.toString(e.attemptCount()),
                                Long.toString(e.requestNumber()),
                                String.valueOf(e.target()),
                                String.valueOf(e.requestedBy()),
                                String.valueOf(e.details()).replace("\n", " / ")))
                + "\n";
    }

    private static String entries(Store store) throws Exception {
        List<Entry> all = new ArrayList<>();
        store.forEachEntry(all::add);
        all.sort(Comparator.comparing(Entry::ref));
        StringBuilder text = new StringBuilder("entries\n");
        all.forEach(e -> text.append(describe(e)));
        text.append("ends of chains\n");
        store.heads()
                .forEach((origin, head) -> text.append(origin)
                        .append(' ')
                        .append(head.number())
                        .append(' ')
                        .append(HexFormat.of().formatHex(head.hash()))
                        .append('\n'));
        return text.append("faults ").append(store.verify()).append('\n').toString();
    }

    private static String batch(Store.Batch b) {
        return b == null
                ? "none"
                : b.export() + " " + b.number() + " " + b.ranges() + " " + b.entries() + " " + b.delivered();
    }

    private static String state(Store store) throws Exception {
        ChainOrigin first = new ChainOrigin("north", (long) (OCTOBER / 1000));
        StringBuilder text = new StringBuilder("dispatcher " + store.dispatcher() + "\n");
        text.append("counts ")
                .append(store.countByKind(false))
                .append(" own ")
                .append(store.countByKind(true))
                .append('\n');
        text.append("quarantined ").append(store.quarantined()).append('\n');
        text.append("archives ")
                .append(store.archivedPeriods())
                .append(' ')
                .append(store.archiveInfo("2024-10"))
                .append('\n');
        text.append("marked ")
                .append(store.settlementRequestedUntil())
                .append(" settled ")
                .append(store.settledUntil(first.incarnation()))
                .append('\n');
        for (String export : List.of("files", "web")) {
            text.append(export)
                    .append(": first ")
                    .append(batch(store.batch(export, 1)))
                    .append(", second ")
                    .append(batch(store.batch(export, 2)))
                    .append(", pending ")
                    .append(batch(store.pendingBatch(export)))
                    .append(", lag ")
                    .append(store.exportLag(export))
                    .append('\n');
        }
        return text.append("exported ")
                .append(store.isExported(new EntryRef(first, 1)))
                .append(' ')
                .append(store.isExported(new EntryRef(first, 8)))
                .append('\n')
                .toString();
    }

    private static String statement(Store store, String period) throws Exception {
        StatementCalculator calculator = new StatementCalculator(CALENDAR, KEY_WINDOW_MILLIS);
        store.forEachEntry(calculator::add);
        Statement s = calculator.statement(period);
        StringBuilder text = new StringBuilder("statement " + s.period() + " closed " + s.closed() + " open " + s.open()
                + " billed " + s.billed() + "\n");
        s.rows()
                .forEach(r -> text.append(String.join(
                                " | ",
                                List.of(
                                        r.tenant(),
                                        r.requestClass(),
                                        "" + r.served(),
                                        "" + r.refused(),
                                        "" + r.failed(),
                                        "" + r.left(),
                                        "" + r.billed(),
                                        "" + r.estimated(),
                                        "" + r.spare(),
                                        "" + r.doubts(),
                                        "" + r.repeats())))
                        .append('\n'));
        s.late()
                .forEach(l -> text.append("late ")
                        .append(l.closed())
                        .append(' ')
                        .append(l.tenant())
                        .append(' ')
                        .append(l.requestClass())
                        .append(' ')
                        .append(l.entries())
                        .append(' ')
                        .append(l.work())
                        .append('\n'));
        s.gaps()
                .forEach(g -> text.append("gap ")
                        .append(g.ref())
                        .append(' ')
                        .append(g.from())
                        .append(' ')
                        .append(g.to())
                        .append(' ')
                        .append(g.jobs())
                        .append('\n'));
        s.voided()
                .forEach(v -> text.append("void ")
                        .append(v.ref())
                        .append(' ')
                        .append(v.target())
                        .append('\n'));
        return text.toString();
    }

    @Test
    void storedLedgerReadsAsRecorded() throws Exception {
        GoldenFolder.copy(FOLDER, dir);
        try (Store store = Store.read(dir)) {
            assertMatches("ledger/read.txt", state(store) + entries(store));
        }
    }

    @Test
    void spoolOfKilledProcessIsRecoveredAsRecorded() throws Exception {
        GoldenFolder.copy(FOLDER, dir);
        try (Store store = Store.open(dir)) {
            Recovery.Report report = Recovery.run(store, DECEMBER + DAY_MILLIS, CALENDAR);
            String text = "answered " + report.answered() + " in doubt " + report.doubts() + " damage "
                    + report.damage() + "\n" + entries(store) + statement(store, "2024-11")
                    + statement(store, "2024-12");
            try (var left = Files.list(dir)) {
                text += "spool files left "
                        + left.filter(f -> f.getFileName().toString().startsWith("spool"))
                                .count() + "\n";
            }
            assertMatches(
                    "ledger/recovered.txt",
                    text + "idle after it "
                            + Recovery.run(store, DECEMBER + DAY_MILLIS, CALENDAR)
                                    .isEmpty() + "\n");
        }
    }

    @Test
    void archiveAndBatchesAreReadAsRecorded() throws Exception {
        GoldenFolder.copy(FOLDER, dir);
        try (Store store = Store.open(dir)) {
            List<Entry> entries = Archive.read(
                    GoldenFile.recorded(ARCHIVE), store.archiveInfo("2024-10").get(1));
            String text = "brought back " + store.restorePruned("2024-10", entries) + "\n" + entries(store)
                    + statement(store, "2024-10");
            for (boolean csv : List.of(true, false)) {
                ExportTarget.OutgoingBatch batch = Exporter.render(store, store.batch("files", 1), csv);
                text += new String(batch.content(), StandardCharsets.UTF_8) + batch.sha256() + "\n";
            }
            ExportTarget.OutgoingBatch pending = Exporter.render(store, store.pendingBatch("files"), true);
            assertMatches(
                    "ledger/restored.txt",
                    text + new String(pending.content(), StandardCharsets.UTF_8) + pending.sha256() + "\nnext "
                            + batch(store.cutBatch("files", 100)) + "\n");
        }
    }

    @Test
    void spoolIsWrittenAsRecorded() throws Exception {
        ChainOrigin own = new ChainOrigin("north", 9);
        try (Spool spool = new Spool(dir, own, FaultInjection.NONE)) {
            fillSpool(spool, own);
            byte[] all = Files.readAllBytes(dir.resolve("spool-9-000001.copy"));
            int used = all.length;
            while (all[used - 1] == 0) {
                used--;
            }
            assertMatches("ledger/spool.txt", hex(Arrays.copyOf(all, used)));
        }
    }
}
