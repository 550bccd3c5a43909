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

/** The command line: errors are one line and an exit code. */
class MainTest {
    private static String run(int code, String... args) {
        PrintStream before = System.err;
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        System.setErr(new PrintStream(err));
        try {
            assertEquals(code, Main.run(args));
        } finally {
            System.setErr(before);
        }
        String said = err.toString();
        assertTrue(said.startsWith("nettlewick: ") && said.indexOf('\n') == said.length() - 1, said);
        return said;
    }

    @Test
    void aUsageErrorPrintsOneLineAndExitsWithTwo() {
        run(2, "nope");
        run(2, "serve", "--nope");
        run(2, "replay");
    }

    @Test
    void anInvalidCaptureFilePrintsOneLineAndExitsWithOne(@TempDir Path dir) throws Exception {
        Path odd = Files.writeString(dir.resolve("odd"), "x\ny\nz and more than four bytes of it");
        assertTrue(run(1, "replay", odd.toString()).contains("not a capture file"));
        run(1, "replay", dir.resolve("none").toString());
    }

    /**
     * The JVM itself would end on SIGHUP; a signal before the handler is installed is kept.
     */
    @Test
    @Timeout(20)
    void aHangupSignalBeforeTheHandlerIsInstalledIsNotLost() throws Exception {
        ReloadSignal.install();
        Class<?> signal = Class.forName("sun.misc.Signal");
        Object hup = signal.getConstructor(String.class).newInstance("HUP");
        signal.getMethod("raise", signal).invoke(null, hup);
        Semaphore reread = new Semaphore(0);
        ReloadSignal.onSignal(reread::release);
        reread.acquire();
        signal.getMethod("raise", signal).invoke(null, hup);
        reread.acquire();
    }

    private static String out(int code, String... args) {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out));
        try {
            assertEquals(code, Main.run(args));
        } finally {
            System.setOut(before);
        }
        return out.toString();
    }

    @Test
    void helpPrintsTheUsageAndExitsWithZero() {
        assertTrue(out(0, "--help").contains("serve"));
        String serve = out(0, "serve", "--help");
        assertTrue(serve.contains("--settings") && !serve.contains("replay"), serve);
        assertTrue(out(0, "replay", "--help").contains("Usage: replay"), "required arguments may be missing");
    }

    /** Deploy files and scripts use the older names. */
    @ParameterizedTest
    @CsvSource({"simulator-adapter, drill", "fleet-test, lab", "warm-up, warm"})
    void aCommandAnswersToItsNameAndItsAlias(String name, String alias) {
        String usage = out(0, name, "--help");
        assertTrue(usage.contains("Usage: " + name), usage);
        assertEquals(usage, out(0, alias, "--help"));
        assertEquals(run(2, name, "--nope"), run(2, alias, "--nope"));
    }

    @Test
    void aFleetTestScenarioIsCheckedUnderBothNames(@TempDir Path dir) throws Exception {
        Path scenario = Files.writeString(
                dir.resolve("scenario.conf"),
                "world {\ndispatchers 3\nrunners 2\n}\n"
                        + "load {\nrate 5\nlength 10m\nclass step-view 100% 50ms 500ms\n}\n");
        String checked = out(0, "fleet-test", "check", scenario.toString());
        assertFalse(checked.isBlank());
        assertEquals(checked, out(0, "lab", "check", scenario.toString()));
        assertEquals(run(2, "fleet-test", "nope"), run(2, "lab", "nope"));
    }

    @Test
    @Timeout(60)
    void warmingUpEndsWithZeroUnderBothNames() {
        assertEquals("", out(0, "warm-up"));
        assertEquals("", out(0, "warm"));
    }

    @Test
    void theSimulatorAdapterEndsWithItsInputUnderBothNames() {
        InputStream before = System.in;
        try {
            System.setIn(InputStream.nullInputStream());
            assertEquals("", out(0, "simulator-adapter"));
            assertEquals("", out(0, "drill"));
        } finally {
            System.setIn(before);
        }
    }

    @Test
    void settingsAreCheckedAndShown(@TempDir Path dir) throws Exception {
        Path good = Files.writeString(dir.resolve("good"), "log {\nlevel error\n}\n");
        Path bad = Files.writeString(dir.resolve("bad"), "ledger {\nstore /x\nterm a from 2026-02-01 to 2026-01-01\n}");
        assertTrue(out(0, "settings", "check", good.toString()).contains("in order"));
        assertTrue(out(0, "settings", "show", good.toString()).contains("level error"));
        assertTrue(run(2, "settings", "check", bad.toString()).contains("bad:3: term is"));
        assertTrue(run(2, "serve", "--settings", bad.toString()).contains("bad:3: term is"));
        run(2, "settings", "check");
        run(2, "settings", "check", dir.resolve("none").toString());
    }

    /** A file is read and checked as a whole before any of it is applied. */
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
    void ledgerCommandsAnswerWithTablesJsonAndExitCodes(@TempDir Path dir) throws Exception {
        Path conf = Files.writeString(
                dir.resolve("c"),
                "ledger {\nstore \"" + dir.resolve("s")
                        + "\"\nexport f {\n"
                        + "folder \"" + dir.resolve("out") + "\"\n}\n}\n");
        String[] s = {"--settings", conf.toString()};
        assertTrue(run(1, "ledger", "verify", s[0], s[1]).contains("no ledger in"));
        LedgerStoreFixture.fill(
                LedgerSettings.of(Settings.read(conf).block("ledger").get()), new java.util.Random(1), 3, new long[2]);
        assertTrue(out(0, "ledger", "statement", s[0], s[1]).contains("period 2026-11, open at a"));
        JsonObject all = JsonParser.parseString(out(0, "ledger", "statement", "2026-11", "--json", s[0], s[1]))
                .getAsJsonObject();
        assertEquals(
                "2026-11",
                all.getAsJsonArray("statements")
                        .get(0)
                        .getAsJsonObject()
                        .get("period")
                        .getAsString());
        assertTrue(out(0, "ledger", "verify", s[0], s[1]).contains("all chains are whole"));
        assertTrue(out(0, "ledger", "export", "--json", s[0], s[1]).contains("\"entries\":3"));
        assertTrue(run(2, "ledger", "close", "2999-01", s[0], s[1]).contains("ends at"));
        assertTrue(run(2, "ledger", "close", "never", s[0], s[1]).contains("no period is called never"));
        assertTrue(run(2, "ledger", "correct", "a/1/1", "x", s[0], s[1]).contains("slot-milliseconds"));
        assertTrue(run(2, "ledger", "correct", "a/1/1", "5", "--by", "me", "--reason", "r", s[0], s[1])
                .contains("no entry a/1/1"));
        run(2, "ledger", "nonsense", s[0], s[1]);
        run(2, "ledger", "reconcile", s[0], s[1]);
        run(2, "ledger", "statement");
    }
}
