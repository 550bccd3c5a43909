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

/** Lets operators read, close, correct, export, verify and archive the usage ledger (docs/ledger.md). */
@Parameters(
        commandDescription =
                "statement [PERIOD] | close PERIOD | correct ENTRY SLOT-MS | export [NAME] | reconcile | verify | "
                        + "archive PERIOD FILE | restore PERIOD [FILE]")
final class LedgerCommand implements Command {
    @Parameter(description = "what to do", required = true)
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--settings", description = "The settings file that serve has", required = true)
    private String settingsFile;

    @Parameter(names = "--json", description = "Answer with one JSON object")
    private boolean json;

    @Parameter(names = "--by", description = "Who asks: for close and correct")
    private String requester = "";

    @Parameter(names = "--reason", description = "Why: for correct")
    private String reason = "";

    @Parameter(names = "--member", description = "This member alone: for statement")
    private String tenant;

    @Override
    public int run() {
        Block block = SettingsCommand.read(settingsFile)
                .block("ledger")
                .orElseThrow(() ->
                        new CommandException(Main.EXIT_USAGE_ERROR, settingsFile + ": block `ledger` is missing"));
        LedgerAdmin admin = new LedgerAdmin(LedgerSettings.of(block), Clock.system());
        try {
            return run(admin);
        } catch (LedgerAdmin.OperationException e) {
            throw new CommandException(e.isUsageError() ? Main.EXIT_USAGE_ERROR : Main.EXIT_FAILURE, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Main.EXIT_FAILURE;
        }
    }

    private int run(LedgerAdmin admin) throws LedgerAdmin.OperationException, InterruptedException {
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
            default -> throw new CommandException(Main.EXIT_USAGE_ERROR, "ledger: unknown action: " + arguments.get(0));
        };
    }

    private int archive(LedgerAdmin admin) throws LedgerAdmin.OperationException, InterruptedException {
        String period = requiredArgument(1, 3, "PERIOD FILE");
        Path archive = Path.of(requiredArgument(2, 3, "PERIOD FILE"));
        return printTransfer("archived", period, admin.archive(period, archive));
    }

    private int restore(LedgerAdmin admin) throws LedgerAdmin.OperationException, InterruptedException {
        String period = requiredArgument(1, 3, "PERIOD [FILE]");
        String archive = optionalArgument(2, 3);
        return printTransfer("restored", period, admin.restore(period, archive == null ? null : Path.of(archive)));
    }

    private String optionalArgument(int index, int maxArguments) {
        if (arguments.size() > maxArguments) {
            throw new CommandException(
                    Main.EXIT_USAGE_ERROR,
                    "ledger " + arguments.get(0) + ": too many arguments: " + String.join(" ", arguments));
        }
        return arguments.size() > index ? arguments.get(index) : null;
    }

    private String requiredArgument(int index, int maxArguments, String syntax) {
        String argument = optionalArgument(index, maxArguments);
        if (argument == null) {
            throw new CommandException(Main.EXIT_USAGE_ERROR, "ledger " + arguments.get(0) + ": expected " + syntax);
        }
        return argument;
    }

    private void print(Object object, String text) {
        Gson gson = new GsonBuilder().disableHtmlEscaping().create();
        System.out.print(json ? gson.toJson(object) + "\n" : text);
    }

    private int statement(LedgerAdmin admin, String period) throws LedgerAdmin.OperationException {
        List<Statement> statements =
                admin.statements(period).stream().map(this::filterByTenant).toList();
        String text = statements.stream().map(StatementFormatter::format).collect(Collectors.joining());
        print(Map.of("statements", statements), text.isEmpty() ? "nothing is entered yet\n" : text);
        return 0;
    }

    private Statement filterByTenant(Statement statement) {
        return tenant == null
                ? statement
                : new Statement(
                        statement.period(),
                        statement.closed(),
                        statement.open(),
                        statement.rows().stream()
                                .filter(row -> row.tenant().equals(tenant))
                                .toList(),
                        statement.late().stream()
                                .filter(late -> late.tenant().equals(tenant))
                                .toList(),
                        statement.gaps(),
                        statement.voided());
    }

    private int close(LedgerAdmin admin, String period) throws LedgerAdmin.OperationException, InterruptedException {
        admin.close(period, requester.isBlank() ? System.getProperty("user.name") : requester);
        print(Map.of("closed", period), "period " + period + " is closed\n");
        return 0;
    }

    private int correct(LedgerAdmin admin, String entry, String value)
            throws LedgerAdmin.OperationException, InterruptedException {
        long slotMicros;
        try {
            slotMicros = StatementFormatter.parseMillis(value);
        } catch (ArithmeticException | NumberFormatException e) {
            throw new CommandException(
                    Main.EXIT_USAGE_ERROR,
                    "invalid value " + value + ": expected slot-milliseconds with at most three decimals");
        }
        String correction = admin.correct(entry, slotMicros, requester, reason).toString();
        print(
                Map.of("correction", correction, "target", entry),
                "correction " + correction + " of " + entry + " is entered\n");
        return 0;
    }

    private int export(LedgerAdmin admin, String name) throws LedgerAdmin.OperationException, InterruptedException {
        Map<String, Object> results = new LinkedHashMap<>();
        TextTable table = new TextTable("export", "batches", "entries", "tries", "fault");
        boolean[] failed = new boolean[1];
        admin.export(name).forEach((export, result) -> {
            results.put(export, result);
            table.addRow(
                    export,
                    result.batches(),
                    result.entries(),
                    result.tries(),
                    result.fault() == null ? "none" : result.fault());
            failed[0] |= result.fault() != null;
        });
        print(results, table.toString());
        return failed[0] ? Main.EXIT_FAILURE : 0;
    }

    private int reconcile(LedgerAdmin admin) throws LedgerAdmin.OperationException, InterruptedException {
        Map<String, Object> results = new LinkedHashMap<>();
        TextTable table = new TextTable("peer", "entries", "origins", "forks", "faults");
        boolean[] failed = new boolean[1];
        admin.reconcile().forEach((peer, result) -> {
            results.put(peer, result);
            table.addRow(
                    peer,
                    result.entries(),
                    result.origins(),
                    result.forks().isEmpty() ? "none" : String.join("; ", result.forks()),
                    result.faults().isEmpty() ? "none" : String.join("; ", result.faults()));
            failed[0] |= !result.forks().isEmpty() || !result.faults().isEmpty();
        });
        print(results, table.toString());
        return failed[0] ? Main.EXIT_FAILURE : 0;
    }

    private int verify(LedgerAdmin admin) throws LedgerAdmin.OperationException {
        List<String> faults = admin.verify();
        print(Map.of("faults", faults), faults.isEmpty() ? "all chains are whole\n" : String.join("\n", faults) + "\n");
        return faults.isEmpty() ? 0 : Main.EXIT_FAILURE;
    }

    private int printTransfer(String action, String period, long entries) {
        print(
                Map.of(action, period, "entries", entries),
                "period " + period + " is " + action + ": " + entries + " entries\n");
        return 0;
    }
}
