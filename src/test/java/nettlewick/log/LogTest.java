package nettlewick.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import nettlewick.settings.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Log lines in both formats, levels by component, and the limit on repeats. */
class LogTest {
    private final PrintStream originalStderr = System.err;

    private static void applySettings(String text) {
        LogSetup.apply(Settings.parse("f", "log {\n" + text + "\n}").block("log"));
    }

    private String captureStderr(Runnable lines) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setErr(new PrintStream(out));
        try {
            lines.run();
        } finally {
            System.setErr(originalStderr);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    @AfterEach
    void restoreDefaults() {
        LogSetup.apply(Optional.empty());
    }

    @Test
    void textFormatPutsAFaultOnOneLine() {
        LogSetup.apply(Optional.empty());
        String line = captureStderr(
                () -> ComponentLogger.of("p1").error("odd", "it\nbroke", new IllegalStateException("why\nnot")));
        assertTrue(
                line.matches("\\S+Z SEVERE p1: it broke: java.lang.IllegalStateException: why not at .* < .*\n"), line);
    }

    @Test
    void jsonFormatHoldsComponentEventAndFields() {
        applySettings("form json");
        String line = captureStderr(() ->
                ComponentLogger.of("p2").warning("late", "a \"request\"", "request", "r\n1", "endpoint", null, "n", 4));
        JsonObject got = JsonParser.parseString(line).getAsJsonObject();
        assertEquals("p2", got.get("part").getAsString());
        assertEquals("late", got.get("event").getAsString());
        assertEquals("r\n1", got.get("request").getAsString());
        assertEquals(4, got.get("n").getAsInt());
        assertEquals("WARNING", got.get("level").getAsString());
        assertEquals(1, line.lines().count());
    }

    @Test
    void levelsAreSetByComponentAndReset() {
        applySettings("level warning\npart p3 debug");
        assertTrue(
                captureStderr(() -> ComponentLogger.of("p3").debug("d", "seen")).contains("DEBUG p3: seen"));
        assertEquals("", captureStderr(() -> ComponentLogger.of("p4").info("i", "unseen")));
        LogSetup.apply(Optional.empty());
        assertEquals("", captureStderr(() -> ComponentLogger.of("p3").debug("d", "unseen")));
    }

    @Test
    void repeatsAreSuppressedAndCountedInTheNextLine() {
        RepeatLimiter repeats = new RepeatLimiter(2, 100);
        assertEquals(OptionalInt.of(0), repeats.admit("a", 0));
        assertEquals(OptionalInt.of(0), repeats.admit("a", 10));
        assertEquals(OptionalInt.empty(), repeats.admit("a", 20));
        assertEquals(OptionalInt.of(0), repeats.admit("b", 20));
        assertEquals(OptionalInt.empty(), repeats.admit("a", 99));
        assertEquals(OptionalInt.of(2), repeats.admit("a", 100));
        assertEquals(OptionalInt.of(0), repeats.admit("a", 101));
        applySettings("repeats 1\nwindow 1h");
        String text = captureStderr(() -> {
            for (int i = 0; i < 50; i++) {
                ComponentLogger.of("p5").info("again", "line " + i);
                ComponentLogger.of("p5").info("other", "x");
            }
        });
        assertEquals(2, text.lines().count(), text);
        assertFalse(text.contains("line 1"));
    }
}
