package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import nettlewick.ledger.LedgerSettings;
import nettlewick.settings.InvalidSettingsException;
import nettlewick.settings.Settings;
import nettlewick.settings.SettingsReference;

/** Checks or prints a settings file, or prints the reference of all settings. */
@Parameters(commandDescription = "check FILE, show FILE (what is in force), or print the reference")
final class SettingsCommand implements Command {
    @Parameter(description = "check FILE | show FILE | reference", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public int run() {
        String action = arguments.get(0);
        if (action.equals("reference") && arguments.size() == 1) {
            System.out.print(SettingsReference.toMarkdown());
            return 0;
        }
        if (!List.of("check", "show").contains(action) || arguments.size() != 2) {
            throw new CommandException(
                    Main.EXIT_USAGE_ERROR,
                    "settings: expected check FILE, show FILE or reference, got " + String.join(" ", arguments));
        }
        Settings settings = read(arguments.get(1));
        System.out.print(action.equals("show") ? settings.describe() : arguments.get(1) + " is in order\n");
        return 0;
    }

    /**
     * Checks constraints that the schema cannot express.
     *
     * @throws InvalidSettingsException if a constraint is violated
     */
    static Settings requireValid(Settings settings) {
        settings.block("ledger").ifPresent(LedgerSettings::of);
        return settings;
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws CommandException if it cannot be read or is invalid
     */
    static Settings read(String file) {
        try {
            return requireValid(Settings.read(Path.of(file)));
        } catch (InvalidSettingsException | InvalidPathException e) {
            throw new CommandException(Main.EXIT_USAGE_ERROR, e.getMessage());
        }
    }
}
