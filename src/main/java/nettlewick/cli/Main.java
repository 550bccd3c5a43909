package nettlewick.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.List;

/** Entry point of the jar: runs the sub-command and reports an error as one line and an exit code. */
public final class Main {
    /** Exit code if the command failed. */
    static final int EXIT_FAILURE = 1;
    /** Exit code if the command line or a configuration is invalid. */
    static final int EXIT_USAGE_ERROR = 2;

    /** The option {@code --help}, before or after the name of a sub-command. */
    private static final class Help {
        @Parameter(names = "--help", help = true, description = "Print the usage")
        private boolean requested;
    }

    private Main() {}

    /** Runs a sub-command. Exits the JVM only if the exit code is not 0, because a dispatcher keeps running. */
    public static void main(String[] args) {
        ReloadSignal.install();
        int code = run(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    /** Runs a sub-command and returns its exit code. */
    static int run(String... args) {
        Help help = new Help();
        JCommander parser = createParser(args.length == 0 ? "" : args[0], help);
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            System.err.println("nettlewick: " + e.getMessage());
            return EXIT_USAGE_ERROR;
        }
        String name = parser.getParsedCommand();
        if (name == null) {
            parser.usage();
            return help.requested ? 0 : EXIT_USAGE_ERROR;
        }
        if (help.requested) {
            parser.getUsageFormatter().usage(name);
            return 0;
        }
        Command command = (Command) parser.getCommands().get(name).getObjects().get(0);
        try {
            return command.run();
        } catch (CommandException e) {
            System.err.println("nettlewick: " + e.getMessage());
            return e.exitCode();
        }
    }

    /**
     * Creates a parser for the named sub-command, so that no class of another one is loaded; for all if none matches.
     */
    private static JCommander createParser(String name, Help help) {
        JCommander.Builder builder =
                JCommander.newBuilder().programName("nettlewick").addObject(help);
        for (SubCommand subCommand : matchingSubCommands(name)) {
            builder.addCommand(subCommand.mainName(), List.of(subCommand.create(), help), subCommand.aliases());
        }
        return builder.build();
    }

    private static List<SubCommand> matchingSubCommands(String name) {
        for (SubCommand subCommand : SubCommand.values()) {
            if (subCommand.hasName(name)) {
                return List.of(subCommand);
            }
        }
        return List.of(SubCommand.values());
    }
}
