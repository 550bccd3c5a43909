package nettlewick.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.List;

/** Command line of the jar: picks the sub-command and turns its errors into one line and an exit code. */
public final class Main {
    /** Exit code for what is wrong with the work asked for. */
    static final int FAILED = 1;
    /** Exit code for a command line or a configuration that is not in order. */
    static final int MISUSED = 2;
    private static final List<String> NAMES = List.of("serve", "drill", "replay", "demo", "ledger",
            "settings", "lab", "version", "warm");

    private Main() {
    }

    public static void main(String[] args) {
        Hangup.install();
        int code = run(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    /** The command of that name alone: the classes of all others are left unloaded. All where none has it. */
    private static List<Command> commands(String name) {
        return NAMES.contains(name) ? List.of(command(name)) : NAMES.stream().map(Main::command).toList();
    }

    private static Command command(String name) {
        return switch (name) {
            case "serve" -> new Serve();
            case "drill" -> new Drill();
            case "replay" -> new Replay();
            case "demo" -> new Demo();
            case "ledger" -> new LedgerCommand();
            case "settings" -> new SettingsCommand();
            case "lab" -> new LabCommand();
            case "version" -> new Version();
            default -> new Warm();
        };
    }

    /** Runs one command; the exit code comes back. */
    static int run(String... args) {
        JCommander.Builder builder = JCommander.newBuilder().programName("nettlewick");
        commands(args.length == 0 ? "" : args[0]).forEach(builder::addCommand);
        JCommander line = builder.build();
        try {
            line.parse(args);
        } catch (ParameterException e) {
            System.err.println("nettlewick: " + e.getMessage());
            return MISUSED;
        }
        if (line.getParsedCommand() == null) {
            line.usage();
            return MISUSED;
        }
        Command command = (Command) line.getCommands().get(line.getParsedCommand()).getObjects().get(0);
        try {
            return command.run();
        } catch (Misuse e) {
            System.err.println("nettlewick: " + e.getMessage());
            return e.code;
        }
    }
}
