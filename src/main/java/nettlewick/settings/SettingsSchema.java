package nettlewick.settings;

import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import java.util.List;

/** The schema of the settings file: all sections and keywords, for validation and for the settings reference. */
public final class SettingsSchema {
    private static final double HOUR_MILLIS = 3.6e6;
    private static final double DAY_MILLIS = 24 * HOUR_MILLIS;

    private static final Section LOG = new Section(
            "log",
            null,
            false,
            "How log lines are written, on standard error.",
            List.of(
                    Keyword.withDefault(
                                    "form",
                                    ValueType.choice("text", "json"),
                                    "text",
                                    "Plain lines, or one JSON object a line.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "level", ValueType.logLevel(), "info", "Least level that is written, of all parts.")
                            .reloadable(),
                    Keyword.repeatable(
                            "part",
                            "Least level of one part, as the lines name it (`node`, `core`, " + "`ledger`).",
                            ValueType.identifier("PART"),
                            ValueType.logLevel()),
                    Keyword.withDefault(
                                    "repeats",
                                    ValueType.wholeNumber(1, 1_000_000),
                                    "10",
                                    "Most lines of one part and event in each `window`; the rest are "
                                            + "counted, and told with "
                                            + "the next one.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "window", ValueType.duration(100, HOUR_MILLIS), "10s", "The window of `repeats`.")
                            .reloadable()),
            List.of());

    private static final Section EDGE = new Section(
            "edge",
            null,
            false,
            "The front for progress streams (server-sent events).",
            List.of(
                    Keyword.required("listen", ValueType.address(), "Where it listens."),
                    Keyword.withDefault(
                            "retry",
                            ValueType.duration(1, HOUR_MILLIS),
                            "1s",
                            "What clients are told to wait before they connect again."),
                    Keyword.withDefault(
                            "heartbeat",
                            ValueType.duration(10, HOUR_MILLIS),
                            "5s",
                            "Pause between comments on a silent stream."),
                    Keyword.withDefault(
                            "grace",
                            ValueType.duration(0, HOUR_MILLIS),
                            "3s",
                            "How long a job whose clients are all gone is kept going."),
                    Keyword.withDefault(
                            "keep",
                            ValueType.duration(0, HOUR_MILLIS),
                            "30s",
                            "How long a finished stream can be read again."),
                    Keyword.withDefault(
                            "keep-streams",
                            ValueType.wholeNumber(0, 100_000),
                            "500",
                            "Most finished streams that can be read again."),
                    Keyword.withDefault(
                            "max-readers", ValueType.wholeNumber(1, 100_000), "200", "Most streams open at once.")),
            List.of());

    private static final Section EXPORT = new Section(
            "export",
            ValueType.identifier("NAME"),
            true,
            "Somewhere the dispatcher's own entries go, each exactly once, in numbered batches. Has either a "
                    + "`folder` or a `url`.",
            List.of(
                    Keyword.optional(
                            "folder",
                            ValueType.path(),
                            "Files go here, with a `manifest.jsonl` that names each " + "with its sum."),
                    Keyword.optional("url", ValueType.url(), "Batches are sent here by POST; see the operators' page."),
                    Keyword.withDefault("format", ValueType.choice("csv", "jsonl"), "csv", "The form of a batch."),
                    Keyword.withDefault(
                            "most", ValueType.wholeNumber(1, 1_000_000), "5000", "Most entries of a batch."),
                    Keyword.withDefault(
                                    "every", ValueType.duration(100, DAY_MILLIS), "1m", "How often `serve` exports.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "timeout",
                                    ValueType.duration(10, HOUR_MILLIS),
                                    "10s",
                                    "How long a receiver may take for one batch.")
                            .reloadable(),
                    new Keyword(
                            "retry",
                            List.of(List.of(ValueType.duration(1, HOUR_MILLIS), ValueType.duration(1, HOUR_MILLIS))),
                            "500ms 30s",
                            false,
                            false,
                            true,
                            "First and longest pause between tries; pauses double and are drawn at random."),
                    Keyword.withDefault(
                                    "attempts",
                                    ValueType.wholeNumber(1, 1000),
                                    "8",
                                    "Tries of one batch before the round is given up; "
                                            + "the next round tries it again.")
                            .reloadable()),
            List.of());

    private static final Section PEERS = new Section(
            "peers",
            null,
            false,
            "Reconciling with other dispatchers: each can hold the entries of all.",
            List.of(
                    Keyword.required("listen", ValueType.address(), "Where the other dispatchers call."),
                    Keyword.required(
                            "key",
                            ValueType.path(),
                            "File with the shared key, 32 bytes at least; all " + "dispatchers have the same."),
                    new Keyword(
                            "admit",
                            List.of(List.of(network())),
                            "127.0.0.0/8",
                            true,
                            false,
                            false,
                            "An IP network whose callers are let in."),
                    Keyword.repeatable("peer", "A dispatcher that is asked for its entries.", ValueType.address()),
                    Keyword.withDefault(
                                    "every", ValueType.duration(10, DAY_MILLIS), "30s", "How often each peer is asked.")
                            .reloadable(),
                    Keyword.withDefault(
                            "timeout",
                            ValueType.duration(10, HOUR_MILLIS),
                            "5s",
                            "How long a peer may take for one answer."),
                    Keyword.withDefault(
                                    "chunk", ValueType.wholeNumber(1, 100_000), "2000", "Most entries fetched at once.")
                            .reloadable()),
            List.of());

    private static final Section LEDGER = new Section(
            "ledger",
            null,
            false,
            "The billing ledger: an entry for each job answered, on a disk that lasts.",
            List.of(
                    Keyword.required(
                            "store", ValueType.path(), "Folder that holds the store; made if it is not there."),
                    new Keyword(
                            "mode",
                            List.of(
                                    List.of(ValueType.literal("sync")),
                                    List.of(ValueType.literal("batch"), ValueType.duration(1, 60_000))),
                            "batch 20ms",
                            false,
                            false,
                            false,
                            "`sync`: an answer leaves only after its intent is on the disk. `batch`: after it is "
                                    + "written; "
                                    + "the disk is told every SPAN."),
                    Keyword.withDefault(
                                    "commit",
                                    ValueType.duration(1, 60_000),
                                    "250ms",
                                    "How often jobs that have ended are moved from the spool into the store.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "patience",
                                    ValueType.duration(1, 60_000),
                                    "250ms",
                                    "Longest that an answer waits for a disk that is slow; then it leaves "
                                            + "all the same.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "queue",
                                    ValueType.wholeNumber(16, 10_000_000),
                                    "50000",
                                    "Most jobs that wait in memory while the store cannot be written; what "
                                            + "passes it goes "
                                            + "into a gap "
                                            + "entry.")
                            .reloadable(),
                    Keyword.withDefault("zone", ValueType.timeZone(), "UTC", "The time zone of terms' dates."),
                    Keyword.repeatable(
                            "term",
                            "A billing period: from the first day's midnight to the second day's. "
                                    + "Time "
                                    + "outside all terms is billed by calendar month.",
                            ValueType.identifier("NAME"),
                            ValueType.literal("from"),
                            ValueType.date(),
                            ValueType.literal("to"),
                            ValueType.date()),
                    Keyword.withDefault(
                            "key-window",
                            ValueType.duration(0, DAY_MILLIS),
                            "15s",
                            "A key answered at two dispatchers within this is billed once.")),
            List.of(EXPORT, PEERS));

    private static final Section DUTY = new Section(
            "duty",
            null,
            false,
            "Duties that one dispatcher holds at a time, see docs/duties.md.",
            List.of(
                    Keyword.required("listen", ValueType.address(), "Where this dispatcher hears of duties (UDP)."),
                    Keyword.optional(
                            "number",
                            ValueType.wholeNumber(0, 65_535),
                            "Its place among the `dispatcher` lines, from 0, "
                                    + "where others reach it at another address than `listen`."),
                    new Keyword(
                            "dispatcher",
                            List.of(List.of(ValueType.address())),
                            null,
                            true,
                            true,
                            false,
                            "A dispatcher of the tier, all of them in the same order everywhere."),
                    Keyword.withDefault(
                            "voters",
                            ValueType.wholeNumber(1, 9),
                            "5",
                            "So many of the first dispatchers grant duties."),
                    Keyword.withDefault("lease", ValueType.duration(100, 60_000), "3s", "How long a grant lasts."),
                    Keyword.withDefault(
                            "drift",
                            ValueType.wholeNumber(0, 20),
                            "5",
                            "By how many percent two clocks' rates may differ at most."),
                    Keyword.required(
                            "key",
                            ValueType.path(),
                            "File with the shared key, 32 bytes at least; all dispatchers " + "have the same."),
                    Keyword.optional(
                            "folder",
                            ValueType.path(),
                            "Where a voter keeps what it promised and accepted, on a disk that "
                                    + "lasts; else a restart forgets it, and asks the others."),
                    new Keyword(
                            "name",
                            List.of(List.of(ValueType.identifier("NAME"))),
                            null,
                            true,
                            false,
                            false,
                            "A duty that nothing is done with; those of members' pools come by themselves.")),
            List.of());

    /** Tenant pools; fleet test scenarios use this section too. */
    public static final Section POOLS = new Section(
            "pools",
            null,
            false,
            "Members moved to sim runners of their own, see docs/pools.md. Wants a block `duty`.",
            List.of(
                    new Keyword(
                            "member",
                            List.of(
                                    List.of(ValueType.identifier("MEMBER")),
                                    List.of(
                                            ValueType.identifier("MEMBER"),
                                            ValueType.literal("cap"),
                                            ValueType.wholeNumber(0, 1_000_000_000_000L),
                                            ValueType.literal("most"),
                                            ValueType.wholeNumber(1, 1000))),
                            null,
                            true,
                            true,
                            true,
                            "A member that is looked after, with a month's cap in hundredths and the most runners "
                                    + "that are added for it at once."),
                    Keyword.repeatable(
                            "keep",
                            "A member that stays in a pool, or is never moved to one.",
                            ValueType.identifier("MEMBER"),
                            ValueType.choice("pool", "common")),
                    Keyword.withDefault(
                                    "reserve",
                                    ValueType.percent(),
                                    "40%",
                                    "The part of all runners that pools may hold.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "window",
                                    ValueType.duration(100, HOUR_MILLIS),
                                    "2s",
                                    "Evidence is judged once in each.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "settle",
                                    ValueType.duration(0, HOUR_MILLIS),
                                    "1s",
                                    "How long a reserved pool is told before others leave it.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "come",
                                    ValueType.duration(0, HOUR_MILLIS),
                                    "2s",
                                    "How long runners that are added are waited for.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "clear",
                                    ValueType.duration(0, HOUR_MILLIS),
                                    "3s",
                                    "How long others' work in hand has to end.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "stay",
                                    ValueType.duration(0, DAY_MILLIS),
                                    "1m",
                                    "How long a member has kept to its share before it comes back.")
                            .reloadable(),
                    Keyword.withDefault(
                            "forget",
                            ValueType.duration(100, DAY_MILLIS),
                            "30s",
                            "After so long without a word of it, a pool keeps nobody else away."),
                    Keyword.optional("provider", ValueType.url(), "Who starts and stops runners."),
                    Keyword.withDefault(
                            "timeout",
                            ValueType.duration(10, HOUR_MILLIS),
                            "5s",
                            "How long the provider may take for an answer."),
                    new Keyword(
                            "price",
                            List.of(List.of(
                                    ValueType.identifier("KIND"),
                                    ValueType.wholeNumber(0, 1_000_000_000),
                                    ValueType.literal("least"),
                                    ValueType.duration(0, DAY_MILLIS))),
                            null,
                            false,
                            false,
                            true,
                            "The kind of runner that is added, an hour's price in hundredths, and the least time "
                                    + "billed."),
                    Keyword.withDefault(
                                    "near",
                                    ValueType.percent(),
                                    "95%",
                                    "The part of a cap past which nothing is added.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "reach",
                                    ValueType.duration(0, DAY_MILLIS),
                                    "1m",
                                    "Longest time until someone can end a runner; its cost counts as bound "
                                            + "to be spent.")
                            .reloadable(),
                    Keyword.withDefault(
                                    "at-cap",
                                    ValueType.choice("stay", "return"),
                                    "stay",
                                    "Whether added runners stay at the cap itself, or are handed back.")
                            .reloadable(),
                    Keyword.withDefault("zone", ValueType.timeZone(), "UTC", "The time zone of the months.")),
            List.of());

    /** The top level of the file. */
    static final Section ROOT =
            new Section("the settings", null, false, "", List.of(), List.of(LOG, EDGE, LEDGER, DUTY, POOLS));

    private SettingsSchema() {}

    private static ValueType<IPAddress> network() {
        return new ValueType<>("NETWORK", "an IP network such as 127.0.0.0/8", word -> {
            IPAddressString parsed = new IPAddressString(word);
            IPAddress network = word.isEmpty() || word.contains("*") ? null : parsed.getAddress();
            return network == null ? null : network.toPrefixBlock();
        });
    }
}
