package nettlewick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import nettlewick.ledger.LedgerSettings;
import nettlewick.ledger.StoreProbe;
import nettlewick.settings.InvalidSettingsException;
import nettlewick.settings.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

/** The command line: one plain line and an exit code for whatever is wrong. */
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
     * Guards against the JVM's own answer to SIGHUP, which is to end; one that came early is not forgotten.
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
        assertTrue(out(0, "replay", "--help").contains("Usage: replay"), "what it requires may be missing");
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

    /** Guards against a file that is half taken over: it is read whole before anything of it counts. */
    @Test
    void reloadedSettingsApplyAsAWholeOrNotAtAll(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("c"), "log {\nlevel error\n}\n");
        SettingsFileFeatures settings = new SettingsFileFeatures(file.toString());
        try {
            Files.writeString(file, "log {\nlevel debug\n}\nedge {\n}\n");
            assertTrue(assertThrows(InvalidSettingsException.class, settings::prepareReload)
                    .getMessage()
                    .contains("c:4: edge lacks"));
            assertFalse(LoggerFactory.getLogger("x").isWarnEnabled(), "the old level stays");
            Files.writeString(file, "log {\nlevel debug\n}\n");
            settings.prepareReload().run();
            assertTrue(LoggerFactory.getLogger("x").isDebugEnabled());
        } finally {
            nettlewick.log.LogSetup.apply(java.util.Optional.empty());
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
        StoreProbe.fill(
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
