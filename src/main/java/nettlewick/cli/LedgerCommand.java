package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.math.BigDecimal;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.core.Clock;
import nettlewick.ledger.LedgerAdmin;
import nettlewick.ledger.LedgerSettings;
import nettlewick.ledger.Statement;
import nettlewick.settings.Block;

@Parameters(
        commandNames = "ledger",
        commandDescription =
                "statement [PERIOD] | close PERIOD | correct ENTRY SLOT-MS | export [NAME] | reconcile | verify | "
                        + "archive PERIOD FILE | restore PERIOD [FILE]")
final class LedgerCommand implements Command {
    @Parameter(description = "what to do", required = true)
    private List<String> words = new ArrayList<>();

    @Parameter(names = "--settings", description = "The settings file that serve has", required = true)
    private String file;

    @Parameter(names = "--json", description = "Answer with one JSON object")
    private boolean json;

    @Parameter(names = "--by", description = "Who asks: for close and correct")
    private String by = "";

    @Parameter(names = "--reason", description = "Why: for correct")
    private String reason = "";

    @Parameter(names = "--member", description = "This member alone: for statement")
    private String member;

    private static final BigDecimal MICROS = BigDecimal.valueOf(1000);

    @Override
    public int run() {
        Block block = SettingsCommand.read(file)
                .block("ledger")
                .orElseThrow(() -> new UsageException(Main.MISUSED, file + ": has no block ledger"));
        LedgerAdmin desk = new LedgerAdmin(LedgerSettings.of(block), Clock.system());
        try {
            return switch (words.get(0)) {
                case "statement" -> statement(desk, word(1, 2));
                case "close" -> close(desk, needed(1, 2, "PERIOD"));
                case "correct" -> correct(desk, needed(1, 3, "ENTRY SLOT-MS"), needed(2, 3, "ENTRY SLOT-MS"));
                case "export" -> export(desk, word(1, 2));
                case "reconcile" -> reconcile(desk);
                case "verify" -> verify(desk);
                case "archive" ->
                    moved(
                            "archived",
                            needed(1, 3, "PERIOD FILE"),
                            desk.archive(needed(1, 3, "PERIOD FILE"), Path.of(needed(2, 3, "PERIOD FILE"))));
                case "restore" ->
                    moved(
                            "restored",
                            needed(1, 3, "PERIOD [FILE]"),
                            desk.restore(
                                    needed(1, 3, "PERIOD [FILE]"), word(2, 3) == null ? null : Path.of(word(2, 3))));
                default -> throw new UsageException(Main.MISUSED, "ledger: no such call: " + words.get(0));
            };
        } catch (LedgerAdmin.Refused e) {
            throw new UsageException(e.misuse() ? Main.MISUSED : Main.FAILED, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Main.FAILED;
        }
    }

    private String word(int at, int most) {
        if (words.size() > most) {
            throw new UsageException(
                    Main.MISUSED, "ledger " + words.get(0) + ": too many words: " + String.join(" ", words));
        }
        return words.size() > at ? words.get(at) : null;
    }

    private String needed(int at, int most, String form) {
        String word = word(at, most);
        if (word == null) {
            throw new UsageException(Main.MISUSED, "ledger " + words.get(0) + ": needs " + form);
        }
        return word;
    }

    private void say(Object object, String text) {
        Gson gson = new GsonBuilder().disableHtmlEscaping().create();
        System.out.print(json ? gson.toJson(object) + "\n" : text);
    }

    private static String millis(long micros) {
        return BigDecimal.valueOf(micros).divide(MICROS).setScale(3).toPlainString();
    }

    private int statement(LedgerAdmin desk, String period) throws LedgerAdmin.Refused {
        List<Statement> statements =
                desk.statements(period).stream().map(this::ofMember).toList();
        StringBuilder text = new StringBuilder();
        for (Statement s : statements) {
            text.append("period ")
                    .append(s.period())
                    .append(
                            s.closed()
                                    ? ", closed\n"
                                    : ", open at " + (s.open().isEmpty() ? "nobody" : String.join(", ", s.open()))
                                            + "\n");
            TextTable rows = new TextTable(
                    "member",
                    "class",
                    "served",
                    "refused",
                    "failed",
                    "left",
                    "billed slot-ms",
                    "estimated",
                    "spare",
                    "in doubt",
                    "repeats");
            s.rows()
                    .forEach(r -> rows.row(
                            r.member(),
                            r.jobClass(),
                            r.served(),
                            r.refused(),
                            r.failed(),
                            r.left(),
                            millis(r.billed()),
                            millis(r.estimated()),
                            millis(r.spare()),
                            r.doubts(),
                            r.repeats()));
            text.append(rows);
            TextTable late = new TextTable("found after the close of", "member", "class", "entries", "slot-ms");
            s.late().forEach(l -> late.row(l.closed(), l.member(), l.jobClass(), l.entries(), millis(l.work())));
            text.append(late.empty() ? "" : "\n" + late);
            TextTable gaps = new TextTable("gap", "from", "to", "jobs not entered");
            s.gaps().forEach(g -> gaps.row(g.ref(), g.from(), g.to(), g.jobs()));
            text.append(gaps.empty() ? "" : "\n" + gaps);
            TextTable voided = new TextTable("correction", "of", "does not count, since");
            s.voided().forEach(v -> voided.row(v.ref(), v.target(), v.why()));
            text.append(voided.empty() ? "" : "\n" + voided)
                    .append("billed in all: ")
                    .append(millis(s.billed()))
                    .append(" slot-ms\n\n");
        }
        say(Map.of("statements", statements), text.length() == 0 ? "nothing is entered yet\n" : text.toString());
        return 0;
    }

    private Statement ofMember(Statement s) {
        return member == null
                ? s
                : new Statement(
                        s.period(),
                        s.closed(),
                        s.open(),
                        s.rows().stream().filter(r -> r.member().equals(member)).toList(),
                        s.late().stream().filter(l -> l.member().equals(member)).toList(),
                        s.gaps(),
                        s.voided());
    }

    private int close(LedgerAdmin desk, String period) throws LedgerAdmin.Refused, InterruptedException {
        desk.close(period, by.isBlank() ? System.getProperty("user.name") : by);
        say(Map.of("closed", period), "period " + period + " is closed\n");
        return 0;
    }

    private int correct(LedgerAdmin desk, String entry, String value) throws LedgerAdmin.Refused, InterruptedException {
        long work;
        try {
            work = new BigDecimal(value).multiply(MICROS).longValueExact();
        } catch (ArithmeticException | NumberFormatException e) {
            throw new UsageException(
                    Main.MISUSED,
                    "the new value is " + value + ", but has to be slot-milliseconds with three decimals at most");
        }
        String ref = desk.correct(entry, work, by, reason).toString();
        say(Map.of("correction", ref, "target", entry), "correction " + ref + " of " + entry + " is entered\n");
        return 0;
    }

    private int export(LedgerAdmin desk, String name) throws LedgerAdmin.Refused, InterruptedException {
        Map<String, Object> said = new LinkedHashMap<>();
        TextTable table = new TextTable("export", "batches", "entries", "tries", "fault");
        boolean[] failed = new boolean[1];
        desk.export(name).forEach((export, r) -> {
            said.put(export, r);
            table.row(export, r.batches(), r.entries(), r.tries(), r.fault() == null ? "none" : r.fault());
            failed[0] |= r.fault() != null;
        });
        say(said, table.toString());
        return failed[0] ? Main.FAILED : 0;
    }

    private int reconcile(LedgerAdmin desk) throws LedgerAdmin.Refused, InterruptedException {
        Map<String, Object> said = new LinkedHashMap<>();
        TextTable table = new TextTable("peer", "entries", "origins", "forks", "faults");
        boolean[] failed = new boolean[1];
        desk.reconcile().forEach((peer, r) -> {
            said.put(peer, r);
            table.row(
                    peer,
                    r.entries(),
                    r.origins(),
                    r.forks().isEmpty() ? "none" : String.join("; ", r.forks()),
                    r.faults().isEmpty() ? "none" : String.join("; ", r.faults()));
            failed[0] |= !r.forks().isEmpty() || !r.faults().isEmpty();
        });
        say(said, table.toString());
        return failed[0] ? Main.FAILED : 0;
    }

    private int verify(LedgerAdmin desk) throws LedgerAdmin.Refused {
        List<String> faults = desk.verify();
        say(Map.of("faults", faults), faults.isEmpty() ? "all chains are whole\n" : String.join("\n", faults) + "\n");
        return faults.isEmpty() ? 0 : Main.FAILED;
    }

    private int moved(String what, String period, long entries) {
        say(
                Map.of(what, period, "entries", entries),
                "period " + period + " is " + what + ": " + entries + " entries\n");
        return 0;
    }
}
