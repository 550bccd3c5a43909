package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import nettlewick.ledger.LedgerSettings;
import nettlewick.settings.InvalidSettingsException;
import nettlewick.settings.Reference;
import nettlewick.settings.Settings;

@Parameters(
        commandNames = "settings",
        commandDescription = "check FILE, show FILE (what is in force), or print the reference")
final class SettingsCommand implements Command {
    @Parameter(description = "check FILE | show FILE | reference", required = true)
    private List<String> words = new ArrayList<>();

    @Override
    public int run() {
        String what = words.get(0);
        if (what.equals("reference") && words.size() == 1) {
            System.out.print(Reference.page());
            return 0;
        }
        if (!List.of("check", "show").contains(what) || words.size() != 2) {
            throw new UsageException(
                    Main.MISUSED,
                    "settings: expected check FILE, show FILE or reference, got " + String.join(" ", words));
        }
        Settings settings = read(words.get(1));
        System.out.print(what.equals("show") ? settings.show() : words.get(1) + " is in order\n");
        return 0;
    }

    /** Checks what the words alone do not show; BadSettings where something is wrong. */
    static Settings whole(Settings settings) {
        settings.block("ledger").ifPresent(LedgerSettings::of);
        return settings;
    }

    /** Reads a file; what is wrong with it ends the command with one line. */
    static Settings read(String file) {
        try {
            return whole(Settings.read(Path.of(file)));
        } catch (InvalidSettingsException | InvalidPathException e) {
            throw new UsageException(Main.MISUSED, e.getMessage());
        }
    }
}
