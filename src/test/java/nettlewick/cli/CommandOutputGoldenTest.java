package nettlewick.cli;

import static nettlewick.golden.GoldenFile.assertMatches;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import nettlewick.golden.GoldenFile;
import nettlewick.golden.GoldenFolder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the output of commands with recorded output: the settings reference, the settings in force, and the tables
 * and JSON of the ledger commands for a ledger that an earlier build wrote.
 */
class CommandOutputGoldenTest {
    /** Matches incarnations of the commands themselves; those of the recorded ledger are Unix seconds of 2024. */
    private static final String NEW_INCARNATION = "north/(?!172|173)[0-9]{10}";

    @TempDir
    private Path dir;

    private String runAndCapture(int exitCode, String... arguments) {
        PrintStream originalOutput = System.out;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setOut(new PrintStream(captured, true, StandardCharsets.UTF_8));
        try {
            assertEquals(exitCode, Main.run(arguments), String.join(" ", arguments));
        } finally {
            System.setOut(originalOutput);
        }
        return captured.toString(StandardCharsets.UTF_8)
                .replace(dir.toString(), "DIR")
                .replaceAll(NEW_INCARNATION, "north/NEW");
    }

    @Test
    void theSettingsReferenceIsAsRecorded() {
        assertMatches("settings/reference.txt", runAndCapture(0, "settings", "reference"));
    }

    @Test
    void theSettingsInForceAreAsRecorded() {
        assertMatches("settings/show.txt", runAndCapture(0, "settings", "show", "deploy/nettlewick.conf"));
    }

    /** Sorts the members of the outermost JSON object, since their order is not defined. */
    private static String sortMembers(String json) {
        JsonObject object = JsonParser.parseString(json).getAsJsonObject();
        if (object.size() == 1) {
            return json;
        }
        Gson gson = new GsonBuilder().disableHtmlEscaping().create();
        return gson.toJson(new TreeMap<>(object.asMap())) + "\n";
    }

    private Path copyLedger() throws Exception {
        GoldenFolder.copy("ledger/store", dir.resolve("store"));
        Files.copy(GoldenFile.recorded("ledger/archive/2024-10.archive"), dir.resolve("2024-10"));
        return Files.writeString(
                dir.resolve("conf"),
                "ledger {\nstore \"" + dir.resolve("store") + "\"\nexport files {\nfolder \"" + dir.resolve("out")
                        + "\"\n}\n}\n");
    }

    /** The JSON output of a ledger command, preceded by its text output if the command changes nothing. */
    private String runLedger(Path settingsFile, int exitCode, String... action) {
        List<String> arguments = new ArrayList<>(List.of("ledger"));
        arguments.addAll(List.of(action));
        arguments.addAll(List.of("--settings", settingsFile.toString()));
        String text = String.join(" ", action).replace(dir.toString(), "DIR") + ", code " + exitCode + "\n";
        if (action[0].equals("statement") || action[0].equals("verify")) {
            text += runAndCapture(exitCode, arguments.toArray(new String[0]));
        }
        arguments.add("--json");
        return text + sortMembers(runAndCapture(exitCode, arguments.toArray(new String[0])));
    }

    @Test
    void ledgerTablesAndJsonAreAsRecorded() throws Exception {
        Path settingsFile = copyLedger();
        String text = runLedger(settingsFile, 0, "statement");
        text += runLedger(settingsFile, 1, "verify");
        text += runLedger(
                settingsFile, 0, "restore", "2024-10", dir.resolve("2024-10").toString());
        text += runLedger(settingsFile, 0, "statement", "2024-10");
        text += runLedger(settingsFile, 0, "statement", "--member", "red");
        text += runLedger(settingsFile, 0, "close", "2024-11", "--by", "op");
        text += runLedger(
                settingsFile, 0, "correct", "north/1733356800/1", "0.25", "--by", "op", "--reason", "a reason");
        text += runLedger(settingsFile, 0, "export");
        text += runLedger(settingsFile, 0, "statement");
        assertMatches("ledger/printed.txt", text);
    }

    /**
     * Only a period that all dispatchers have closed can be archived, so the other dispatcher's entries are deleted.
     */
    @Test
    void archivingAPeriodPrintsAsRecorded() throws Exception {
        Path settingsFile = copyLedger();
        try (Connection c = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve("store/ledger.db"));
                Statement s = c.createStatement()) {
            s.execute("DELETE FROM entry WHERE origin IN (SELECT id FROM origin WHERE dispatcher <> 'north')");
            s.execute("DELETE FROM origin WHERE dispatcher <> 'north'");
            s.execute("DELETE FROM cut WHERE export = 'web'");
        }
        String text = runLedger(settingsFile, 0, "verify");
        text += runLedger(
                settingsFile, 0, "restore", "2024-10", dir.resolve("2024-10").toString());
        text += runLedger(settingsFile, 0, "close", "2024-11", "--by", "op");
        text += runLedger(settingsFile, 0, "export", "files");
        text += runLedger(
                settingsFile, 0, "archive", "2024-10", dir.resolve("again").toString());
        text += runLedger(settingsFile, 0, "statement");
        assertMatches("ledger/archived.txt", text);
    }
}
