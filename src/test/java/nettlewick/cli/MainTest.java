package nettlewick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import nettlewick.ledger.LedgerSettings;
import nettlewick.ledger.LedgerStoreFixture;
import nettlewick.log.LogSetup;
import nettlewick.settings.InvalidSettingsException;
import nettlewick.settings.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

/** The command line: an error prints one line and sets the exit code. */
class MainTest {
    private static String runAndCaptureError(int exitCode, String... args) {
        PrintStream originalError = System.err;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setErr(new PrintStream(captured));
        try {
            assertEquals(exitCode, Main.run(args));
        } finally {
            System.setErr(originalError);
        }
        String printed = captured.toString();
        assertTrue(printed.startsWith("nettlewick: ") && printed.indexOf('\n') == printed.length() - 1, printed);
        return printed;
    }

    @Test
    void aUsageErrorPrintsOneLineAndExitsWithTwo() {
        runAndCaptureError(2, "nope");
        runAndCaptureError(2, "serve", "--nope");
        runAndCaptureError(2, "replay");
    }

    @Test
    void anInvalidCaptureFilePrintsOneLineAndExitsWithOne(@TempDir Path dir) throws Exception {
        Path invalidFile = Files.writeString(dir.resolve("odd"), "x\ny\nz and more than four bytes of it");
        assertTrue(runAndCaptureError(1, "replay", invalidFile.toString()).contains("not a capture file"));
        runAndCaptureError(1, "replay", dir.resolve("none").toString());
    }

    /**
     * By default SIGHUP ends the JVM. A signal received before the reload action is registered must not be lost.
     */
    @Test
    @Timeout(20)
    void aHangupSignalBeforeTheReloadActionIsRegisteredIsNotLost() throws Exception {
        ReloadSignal.install();
        Class<?> signal = Class.forName("sun.misc.Signal");
        Object hangup = signal.getConstructor(String.class).newInstance("HUP");
        signal.getMethod("raise", signal).invoke(null, hangup);
        Semaphore reloads = new Semaphore(0);
        ReloadSignal.onSignal(reloads::release);
        reloads.acquire();
        signal.getMethod("raise", signal).invoke(null, hangup);
        reloads.acquire();
    }

    private static String runAndCaptureOutput(int exitCode, String... args) {
        PrintStream originalOutput = System.out;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setOut(new PrintStream(captured));
        try {
            assertEquals(exitCode, Main.run(args));
        } finally {
            System.setOut(originalOutput);
        }
        return captured.toString();
    }

    @Test
    void helpPrintsTheUsageAndExitsWithZero() {
        assertTrue(runAndCaptureOutput(0, "--help").contains("serve"));
        String serve = runAndCaptureOutput(0, "serve", "--help");
        assertTrue(serve.contains("--settings") && !serve.contains("replay"), serve);
        assertTrue(
                runAndCaptureOutput(0, "replay", "--help").contains("Usage: replay"),
                "required arguments may be missing");
    }

    /** Deploy files and scripts use the aliases. */
    @ParameterizedTest
    @CsvSource({"simulator-adapter, drill", "fleet-test, lab", "warm-up, warm"})
    void aCommandIsFoundByItsNameAndItsAlias(String name, String alias) {
        String usage = runAndCaptureOutput(0, name, "--help");
        assertTrue(usage.contains("Usage: " + name), usage);
        assertEquals(usage, runAndCaptureOutput(0, alias, "--help"));
        assertEquals(runAndCaptureError(2, name, "--nope"), runAndCaptureError(2, alias, "--nope"));
    }

    @Test
    void aFleetTestScenarioIsCheckedUnderBothNames(@TempDir Path dir) throws Exception {
        Path scenario = Files.writeString(
                dir.resolve("scenario.conf"),
                "world {\ndispatchers 3\nrunners 2\n}\n"
                        + "load {\nrate 5\nlength 10m\nclass step-view 100% 50ms 500ms\n}\n");
        String checked = runAndCaptureOutput(0, "fleet-test", "check", scenario.toString());
        assertFalse(checked.isBlank());
        assertEquals(checked, runAndCaptureOutput(0, "lab", "check", scenario.toString()));
        assertEquals(runAndCaptureError(2, "fleet-test", "nope"), runAndCaptureError(2, "lab", "nope"));
    }

    @Test
    @Timeout(60)
    void warmingUpEndsWithZeroUnderBothNames() {
        assertEquals("", runAndCaptureOutput(0, "warm-up"));
        assertEquals("", runAndCaptureOutput(0, "warm"));
    }

    @Test
    void theSimulatorAdapterEndsWithItsInputUnderBothNames() {
        InputStream originalInput = System.in;
        try {
            System.setIn(InputStream.nullInputStream());
            assertEquals("", runAndCaptureOutput(0, "simulator-adapter"));
            assertEquals("", runAndCaptureOutput(0, "drill"));
        } finally {
            System.setIn(originalInput);
        }
    }

    @Test
    void settingsAreCheckedAndShown(@TempDir Path dir) throws Exception {
        Path valid = Files.writeString(dir.resolve("good"), "log {\nlevel error\n}\n");
        Path invalid =
                Files.writeString(dir.resolve("bad"), "ledger {\nstore /x\nterm a from 2026-02-01 to 2026-01-01\n}");
        assertTrue(runAndCaptureOutput(0, "settings", "check", valid.toString()).contains("in order"));
        assertTrue(runAndCaptureOutput(0, "settings", "show", valid.toString()).contains("level error"));
        assertTrue(
                runAndCaptureError(2, "settings", "check", invalid.toString()).contains("bad:3: term is"));
        assertTrue(
                runAndCaptureError(2, "serve", "--settings", invalid.toString()).contains("bad:3: term is"));
        runAndCaptureError(2, "settings", "check");
        runAndCaptureError(2, "settings", "check", dir.resolve("none").toString());
    }

    /** A settings file is read and checked completely before any of it is applied. */
    @Test
    void reloadedSettingsApplyAsAWholeOrNotAtAll(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("c"), "log {\nlevel error\n}\n");
        SettingsFileFeatures settings = new SettingsFileFeatures(file.toString());
        try {
            Files.writeString(file, "log {\nlevel debug\n}\nedge {\n}\n");
            assertTrue(assertThrows(InvalidSettingsException.class, settings::prepareReload)
                    .getMessage()
                    .contains("c:4: edge lacks"));
            assertFalse(LoggerFactory.getLogger("x").isWarnEnabled(), "the old level stays in force");
            Files.writeString(file, "log {\nlevel debug\n}\n");
            settings.prepareReload().run();
            assertTrue(LoggerFactory.getLogger("x").isDebugEnabled());
        } finally {
            LogSetup.apply(Optional.empty());
        }
    }

    @Test
    void ledgerCommandsPrintTablesAndJsonAndSetExitCodes(@TempDir Path dir) throws Exception {
        Path settingsFile = Files.writeString(
                dir.resolve("c"),
                "ledger {\nstore \"" + dir.resolve("s")
                        + "\"\nexport f {\n"
                        + "folder \"" + dir.resolve("out") + "\"\n}\n}\n");
        String[] option = {"--settings", settingsFile.toString()};
        assertTrue(
                runAndCaptureError(1, "ledger", "verify", option[0], option[1]).contains("no ledger in"));
        LedgerStoreFixture.fill(
                LedgerSettings.of(Settings.read(settingsFile).block("ledger").get()),
                new java.util.Random(1),
                3,
                new long[2]);
        assertTrue(runAndCaptureOutput(0, "ledger", "statement", option[0], option[1])
                .contains("period 2026-11, open at a"));
        JsonObject json = JsonParser.parseString(
                        runAndCaptureOutput(0, "ledger", "statement", "2026-11", "--json", option[0], option[1]))
                .getAsJsonObject();
        assertEquals(
                "2026-11",
                json.getAsJsonArray("statements")
                        .get(0)
                        .getAsJsonObject()
                        .get("period")
                        .getAsString());
        assertTrue(
                runAndCaptureOutput(0, "ledger", "verify", option[0], option[1]).contains("all chains are whole"));
        assertTrue(runAndCaptureOutput(0, "ledger", "export", "--json", option[0], option[1])
                .contains("\"entries\":3"));
        assertTrue(runAndCaptureError(2, "ledger", "close", "2999-01", option[0], option[1])
                .contains("ends at"));
        assertTrue(runAndCaptureError(2, "ledger", "close", "never", option[0], option[1])
                .contains("no period is called never"));
        assertTrue(runAndCaptureError(2, "ledger", "correct", "a/1/1", "x", option[0], option[1])
                .contains("slot-milliseconds"));
        assertTrue(runAndCaptureError(
                        2, "ledger", "correct", "a/1/1", "5", "--by", "me", "--reason", "r", option[0], option[1])
                .contains("no entry a/1/1"));
        runAndCaptureError(2, "ledger", "nonsense", option[0], option[1]);
        runAndCaptureError(2, "ledger", "reconcile", option[0], option[1]);
        runAndCaptureError(2, "ledger", "statement");
    }
}
