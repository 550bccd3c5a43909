package nettlewick.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.List;

/** Command line of the jar: picks the sub-command and turns its errors into one line and an exit code. */
public final class Main {
    /** Exit code for what is wrong with the work asked for. */
    static final int FAILED = 1;
    /** Exit code for a command line or a configuration that is not in order. */
    static final int USAGE_ERROR = 2;

    private static final List<String> NAMES =
            List.of("serve", "drill", "replay", "demo", "ledger", "settings", "lab", "version", "warm");

    /** Asked for before a command or after it. */
    private static final class Help {
        @Parameter(names = "--help", help = true, description = "Print the usage")
        private boolean asked;
    }

    private Main() {}

    public static void main(String[] args) {
        ReloadSignal.install();
        int code = run(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    /** The command of that name alone: the classes of all others are left unloaded. All where none has it. */
    private static List<String> names(String name) {
        return NAMES.contains(name) ? List.of(name) : NAMES;
    }

    private static Command command(String name) {
        return switch (name) {
            case "serve" -> new ServeCommand();
            case "drill" -> new SimulatorAdapterCommand();
            case "replay" -> new ReplayCommand();
            case "demo" -> new DemoCommand();
            case "ledger" -> new LedgerCommand();
            case "settings" -> new SettingsCommand();
            case "lab" -> new FleetTestCommand();
            case "version" -> new VersionCommand();
            default -> new WarmUpCommand();
        };
    }

    /** Runs one command; the exit code comes back. */
    static int run(String... args) {
        Help help = new Help();
        JCommander.Builder builder =
                JCommander.newBuilder().programName("nettlewick").addObject(help);
        for (String name : names(args.length == 0 ? "" : args[0])) {
            builder.addCommand(name, List.of(command(name), help));
        }
        JCommander line = builder.build();
        try {
            line.parse(args);
        } catch (ParameterException e) {
            System.err.println("nettlewick: " + e.getMessage());
            return USAGE_ERROR;
        }
        if (help.asked && line.getParsedCommand() != null) {
            line.getUsageFormatter().usage(line.getParsedCommand());
            return 0;
        }
        if (line.getParsedCommand() == null) {
            line.usage();
            return help.asked ? 0 : USAGE_ERROR;
        }
        Command command = (Command)
                line.getCommands().get(line.getParsedCommand()).getObjects().get(0);
        try {
            return command.run();
        } catch (UsageException e) {
            System.err.println("nettlewick: " + e.getMessage());
            return e.code;
        }
    }
}
