package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import nettlewick.core.Clock;
import nettlewick.ledger.LedgerAdmin;
import nettlewick.ledger.LedgerSettings;
import nettlewick.ledger.Statement;
import nettlewick.settings.Block;

/** Lets an operator read, close, correct, export, check and archive the usage ledger (docs/ledger.md). */
@Parameters(
        commandDescription =
                "statement [PERIOD] | close PERIOD | correct ENTRY SLOT-MS | export [NAME] | reconcile | verify | "
                        + "archive PERIOD FILE | restore PERIOD [FILE]")
final class LedgerCommand implements Command {
    @Parameter(description = "what to do", required = true)
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--settings", description = "The settings file that serve has", required = true)
    private String file;

    @Parameter(names = "--json", description = "Answer with one JSON object")
    private boolean json;

    @Parameter(names = "--by", description = "Who asks: for close and correct")
    private String by = "";

    @Parameter(names = "--reason", description = "Why: for correct")
    private String reason = "";

    @Parameter(names = "--member", description = "This member alone: for statement")
    private String tenant;

    @Override
    public int run() {
        Block block = SettingsCommand.read(file)
                .block("ledger")
                .orElseThrow(() -> new UsageException(Main.USAGE_ERROR, file + ": has no block ledger"));
        LedgerAdmin admin = new LedgerAdmin(LedgerSettings.of(block), Clock.system());
        try {
            return run(admin);
        } catch (LedgerAdmin.CommandException e) {
            throw new UsageException(e.isUsageError() ? Main.USAGE_ERROR : Main.FAILED, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Main.FAILED;
        }
    }

    private int run(LedgerAdmin admin) throws LedgerAdmin.CommandException, InterruptedException {
        return switch (arguments.get(0)) {
            case "statement" -> statement(admin, optionalArgument(1, 2));
            case "close" -> close(admin, requiredArgument(1, 2, "PERIOD"));
            case "correct" ->
                correct(admin, requiredArgument(1, 3, "ENTRY SLOT-MS"), requiredArgument(2, 3, "ENTRY SLOT-MS"));
            case "export" -> export(admin, optionalArgument(1, 2));
            case "reconcile" -> reconcile(admin);
            case "verify" -> verify(admin);
            case "archive" -> archive(admin);
            case "restore" -> restore(admin);
            default -> throw new UsageException(Main.USAGE_ERROR, "ledger: no such call: " + arguments.get(0));
        };
    }

    private int archive(LedgerAdmin admin) throws LedgerAdmin.CommandException, InterruptedException {
        String period = requiredArgument(1, 3, "PERIOD FILE");
        Path archive = Path.of(requiredArgument(2, 3, "PERIOD FILE"));
        return printMoved("archived", period, admin.archive(period, archive));
    }

    private int restore(LedgerAdmin admin) throws LedgerAdmin.CommandException, InterruptedException {
        String period = requiredArgument(1, 3, "PERIOD [FILE]");
        String archive = optionalArgument(2, 3);
        return printMoved("restored", period, admin.restore(period, archive == null ? null : Path.of(archive)));
    }

    private String optionalArgument(int index, int maxArguments) {
        if (arguments.size() > maxArguments) {
            throw new UsageException(
                    Main.USAGE_ERROR,
                    "ledger " + arguments.get(0) + ": too many words: " + String.join(" ", arguments));
        }
        return arguments.size() > index ? arguments.get(index) : null;
    }

    private String requiredArgument(int index, int maxArguments, String form) {
        String word = optionalArgument(index, maxArguments);
        if (word == null) {
            throw new UsageException(Main.USAGE_ERROR, "ledger " + arguments.get(0) + ": needs " + form);
        }
        return word;
    }

    private void print(Object object, String text) {
        Gson gson = new GsonBuilder().disableHtmlEscaping().create();
        System.out.print(json ? gson.toJson(object) + "\n" : text);
    }

    private int statement(LedgerAdmin admin, String period) throws LedgerAdmin.CommandException {
        List<Statement> statements =
                admin.statements(period).stream().map(this::forTenant).toList();
        String text = statements.stream().map(StatementText::of).collect(Collectors.joining());
        print(Map.of("statements", statements), text.isEmpty() ? "nothing is entered yet\n" : text);
        return 0;
    }

    private Statement forTenant(Statement s) {
        return tenant == null
                ? s
                : new Statement(
                        s.period(),
                        s.closed(),
                        s.open(),
                        s.rows().stream().filter(r -> r.tenant().equals(tenant)).toList(),
                        s.late().stream().filter(l -> l.tenant().equals(tenant)).toList(),
                        s.gaps(),
                        s.voided());
    }

    private int close(LedgerAdmin admin, String period) throws LedgerAdmin.CommandException, InterruptedException {
        admin.close(period, by.isBlank() ? System.getProperty("user.name") : by);
        print(Map.of("closed", period), "period " + period + " is closed\n");
        return 0;
    }

    private int correct(LedgerAdmin admin, String entry, String value)
            throws LedgerAdmin.CommandException, InterruptedException {
        long work;
        try {
            work = StatementText.parseMillis(value);
        } catch (ArithmeticException | NumberFormatException e) {
            throw new UsageException(
                    Main.USAGE_ERROR,
                    "the new value is " + value + ", but has to be slot-milliseconds with three decimals at most");
        }
        String ref = admin.correct(entry, work, by, reason).toString();
        print(Map.of("correction", ref, "target", entry), "correction " + ref + " of " + entry + " is entered\n");
        return 0;
    }

    private int export(LedgerAdmin admin, String name) throws LedgerAdmin.CommandException, InterruptedException {
        Map<String, Object> results = new LinkedHashMap<>();
        TextTable table = new TextTable("export", "batches", "entries", "tries", "fault");
        boolean[] failed = new boolean[1];
        admin.export(name).forEach((export, r) -> {
            results.put(export, r);
            table.addRow(export, r.batches(), r.entries(), r.tries(), r.fault() == null ? "none" : r.fault());
            failed[0] |= r.fault() != null;
        });
        print(results, table.toString());
        return failed[0] ? Main.FAILED : 0;
    }

    private int reconcile(LedgerAdmin admin) throws LedgerAdmin.CommandException, InterruptedException {
        Map<String, Object> results = new LinkedHashMap<>();
        TextTable table = new TextTable("peer", "entries", "origins", "forks", "faults");
        boolean[] failed = new boolean[1];
        admin.reconcile().forEach((peer, r) -> {
            results.put(peer, r);
            table.addRow(
                    peer,
                    r.entries(),
                    r.origins(),
                    r.forks().isEmpty() ? "none" : String.join("; ", r.forks()),
                    r.faults().isEmpty() ? "none" : String.join("; ", r.faults()));
            failed[0] |= !r.forks().isEmpty() || !r.faults().isEmpty();
        });
        print(results, table.toString());
        return failed[0] ? Main.FAILED : 0;
    }

    private int verify(LedgerAdmin admin) throws LedgerAdmin.CommandException {
        List<String> faults = admin.verify();
        print(Map.of("faults", faults), faults.isEmpty() ? "all chains are whole\n" : String.join("\n", faults) + "\n");
        return faults.isEmpty() ? 0 : Main.FAILED;
    }

    private int printMoved(String what, String period, long entries) {
        print(
                Map.of(what, period, "entries", entries),
                "period " + period + " is " + what + ": " + entries + " entries\n");
        return 0;
    }
}
